package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a request that a server ran.
type run struct {
	id     string
	server string
	tenant string
	tokens int
	at     time.Time
}

// cachedPart is what an engine keeps of one part of a prompt.
type cachedPart struct {
	salt, id string
	tokens   int
	tenant   string
	at       time.Time
}

// use is the use of a cached part that a request of another tenant made.
type use struct {
	id, server, salt, part string
	tenant, maker          string
	at, madeAt             time.Time
}

// server is a worker: an engine if it has a model, a plain service otherwise.
type server struct {
	id, service, address, zone, model string
	slots                             chan struct{}
	// work is the time of a request up to its answer, or to the first event of its stream.
	work   time.Duration
	events int
	gap    time.Duration
	born   int64

	mu       sync.Mutex
	version  int
	sequence int
	runs     []run
	cache    map[string]cachedPart
	uses     []use
	serving  *http.Server
	// changes are the events of cache: [number, + or -, salt, ID, tokens stored now, model].
	changes [][]any
	fence   uint64
	loading bool
	orders  []order
	// onChange is called after the weights have changed.
	onChange func()
}

// order is an order that a server has accepted.
type order struct {
	holder  string
	fence   uint64
	version int
	at      time.Time
}

// loadTime is the time to load new weights, as on the sheet of dysgl-ops.
const loadTime = 290 * time.Millisecond

const slotsPerEngine = 24

func newServer(id, service, zone, model string, slots int, work time.Duration) *server {
	return &server{
		id: id, service: service, zone: zone, model: model, slots: make(chan struct{}, slots), work: work,
		events: 3, gap: 5 * time.Millisecond, born: time.Now().UnixMilli(), version: 1, cache: map[string]cachedPart{},
	}
}

func (s *server) listen(h http.Handler) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	s.address = l.Addr().String()
	s.serving = &http.Server{Handler: h}
	go func() { _ = s.serving.Serve(l) }()
}

func (s *server) entry() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": cap(s.slots),
		"state": "ready", "cold_remaining_ms": 0, "sequence": s.sequence, "born": s.born,
	}
	if s.model != "" {
		e["stage"], e["models"] = "combined", s.models()
	}
	return e
}

func (s *server) models() []any {
	return []any{map[string]any{"name": s.model, "version": s.version, "adapters": []any{}}}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusOK)
		return
	case "/api/report":
		s.mu.Lock()
		defer s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"stage": "combined", "models": s.models(), "busy": s.loading, "sequence": s.sequence, "waiting": 0, "running": len(s.slots), "kv_used": 0, "kv_total": 150000, "handles": 0, "born": s.born})
		return
	case "/api/order":
		s.serveOrder(w, r)
		return
	case "/api/kv-events":
		s.serveEvents(w, r)
		return
	case "/api/kv-list":
		s.mu.Lock()
		defer s.mu.Unlock()
		held := [][]any{}
		for _, part := range s.cache {
			held = append(held, []any{part.salt, part.id, part.tokens, s.model})
		}
		reply(w, http.StatusOK, map[string]any{"epoch": s.born, "next": len(s.changes), "held": held, "born": s.born})
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	s.serve(w, r)
}

// eventPoll is how often a call that waits for events looks for some.
const eventPoll = 20 * time.Millisecond

// serveEvents answers with the events of cache after a number, as soon as there are some.
func (s *server) serveEvents(w http.ResponseWriter, r *http.Request) {
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		next := len(s.changes)
		events := append([][]any{}, s.changes[min(since, next):]...)
		s.mu.Unlock()
		if len(events) > 0 || !time.Now().Before(deadline) || r.Context().Err() != nil {
			reply(w, http.StatusOK, map[string]any{"epoch": s.born, "next": next, "lost": since > next, "events": events, "born": s.born})
			return
		}
		time.Sleep(eventPoll)
	}
}

// recordChange adds an event of cache. The caller holds mu.
func (s *server) recordChange(sign string, p cachedPart, tokens int) {
	s.changes = append(s.changes, []any{len(s.changes) + 1, sign, p.salt, p.id, tokens, s.model})
}

// serveOrder takes an order to load another version of the weights.
func (s *server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Version  int    `json:"version"`
		Holder   string `json:"holder"`
		Fence    uint64 `json:"fence"`
		Expected *int   `json:"expected"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case o.Fence < s.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case s.loading || o.Expected != nil && *o.Expected != s.sequence:
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.fence, s.loading = o.Fence, true
	s.sequence++
	s.orders = append(s.orders, order{holder: o.Holder, fence: o.Fence, version: o.Version, at: time.Now()})
	time.AfterFunc(loadTime, func() { s.endLoad(o.Version) })
	w.WriteHeader(http.StatusAccepted)
}

// endLoad puts new weights in place, which discards what was kept.
func (s *server) endLoad(version int) {
	s.mu.Lock()
	for _, part := range s.cache {
		s.recordChange("-", part, 0)
	}
	s.version, s.loading, s.cache = version, false, map[string]cachedPart{}
	s.mu.Unlock()
	s.onChange()
}

func (s *server) currentVersion() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Request-Id", r.Header.Get("Request-Id"))
	if expected := r.Header.Get("Expect-Version"); expected != "" && expected != strconv.Itoa(s.currentVersion()) {
		h.Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	s.mu.Lock()
	s.runs = append(s.runs, s.newRun(r))
	if s.model != "" {
		s.readPrompt(r)
	}
	s.mu.Unlock()
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	h.Set("Server-Signature", "sig."+r.Header.Get("Request-Id")+"."+s.id)
	if s.model == "" {
		body := "answer to " + r.Header.Get("Request-Id")
		h.Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	h.Set("Weight-Versions", strconv.Itoa(s.currentVersion()))
	for n := 1; n <= s.events; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, r.Header.Get("Request-Id"))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(s.gap)
	}
}

func (s *server) newRun(r *http.Request) run {
	tokens := 0
	for _, text := range strings.Split(r.Header.Get("Token-Usage"), ",") {
		n, _ := strconv.Atoi(text)
		tokens += n
	}
	return run{id: r.Header.Get("Request-Id"), server: s.id, tenant: r.Header.Get("Tenant-Id"), tokens: tokens, at: time.Now()}
}

// readPrompt reads the parts of a prompt: those that are kept under the same text, with all
// parts before them, are used. The caller holds mu.
func (s *server) readPrompt(r *http.Request) {
	salt, tenant := r.Header.Get("Cache-Salt"), r.Header.Get("Tenant-Id")
	prefix, kept := "", true
	for _, entry := range strings.Split(r.Header.Get("Prompt-Prefix"), ",") {
		part, count, _ := strings.Cut(entry, ":")
		prefix += "/" + part
		key := salt + "|" + s.model + "|" + prefix
		known, ok := s.cache[key]
		if kept = kept && ok; kept {
			if known.tenant != tenant {
				s.uses = append(s.uses, use{id: r.Header.Get("Request-Id"), server: s.id, salt: salt, part: part, tenant: tenant, maker: known.tenant, at: time.Now(), madeAt: known.at})
			}
			continue
		}
		tokens, _ := strconv.Atoi(count)
		s.cache[key] = cachedPart{salt: salt, id: part, tokens: tokens, tenant: tenant, at: time.Now()}
		if !ok {
			s.recordChange("+", s.cache[key], tokens)
		}
	}
}
