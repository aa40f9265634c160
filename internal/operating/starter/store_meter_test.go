package starter

import (
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"path"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// storeResponseTime is the time in which the store of the users' deployments responds.
	storeResponseTime = 4 * time.Millisecond
	// renewalsPerRead is the number of renewals of leases that count as one read.
	renewalsPerRead = 10
)

// storeMeter is an HTTP transport to a store, without connections, that counts the calls.
type storeMeter struct {
	store http.Handler

	mu     sync.Mutex
	calls  []storeCall
	open   int
	opened int
}

// storeCall is a call of a kind, which is the last part of its path without IDs.
type storeCall struct {
	at   time.Time
	kind string
}

// RoundTrip implements http.RoundTripper.
func (m *storeMeter) RoundTrip(r *http.Request) (response *http.Response, err error) {
	m.begin(r)
	defer m.end()
	defer func() {
		switch cause := recover(); cause {
		case nil:
		case http.ErrAbortHandler:
			response, err = nil, fmt.Errorf("call store: connection closed")
		default:
			panic(cause)
		}
	}()
	time.Sleep(storeResponseTime)
	recorder := httptest.NewRecorder()
	served := r.Clone(r.Context())
	if served.Body == nil {
		served.Body = http.NoBody
	}
	m.store.ServeHTTP(recorder, served)
	if r.Context().Err() != nil {
		return nil, r.Context().Err()
	}
	return recorder.Result(), nil
}

func (m *storeMeter) begin(r *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	name := strings.TrimPrefix(r.URL.Path, "/api/kv-")
	if i := strings.IndexByte(name, '/'); i >= 0 {
		name = name[:i]
	}
	m.calls = append(m.calls, storeCall{time.Now(), path.Base(name)})
	m.open++
	m.opened = max(m.opened, m.open)
}

func (m *storeMeter) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open--
}

// reset forgets the calls.
func (m *storeMeter) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls, m.opened = nil, m.open
}

// storeLoad is the load of a store: the most calls of each kind, reads and writes in any
// second, and the most calls that were open at once.
type storeLoad struct {
	kinds         map[string]int
	reads, writes float64
	open          int
}

// load returns the load since the last reset.
func (m *storeMeter) load() storeLoad {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := storeLoad{kinds: make(map[string]int), open: m.opened}
	window := make(map[string]int)
	first := 0
	for _, c := range m.calls {
		for ; c.at.Sub(m.calls[first].at) >= time.Second; first++ {
			window[m.calls[first].kind]--
		}
		window[c.kind]++
		l.kinds[c.kind] = max(l.kinds[c.kind], window[c.kind])
		l.reads = max(l.reads, float64(window["key"]+window["range"]+window["watch"])+float64(window["keep"])/renewalsPerRead)
		l.writes = max(l.writes, float64(window["txn"]+window["lease"]+window["lease-end"]))
	}
	return l
}

// String lists the figures.
func (l storeLoad) String() string {
	kinds := make([]string, 0, len(l.kinds))
	for _, kind := range slices.Sorted(maps.Keys(l.kinds)) {
		kinds = append(kinds, fmt.Sprintf("%s %d", kind, l.kinds[kind]))
	}
	return fmt.Sprintf("reads %.0f, writes %.0f, open %d (%s)", l.reads, l.writes, l.open, strings.Join(kinds, ", "))
}
