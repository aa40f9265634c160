package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a small stand-in for the platform's metadata store: items with revisions, leases,
// ranges, watches and conditional transactions, all in memory.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	log      []event
	leases   map[uint64]*lease
	changed  chan struct{}
	// refuse, if set, answers a call instead of the store. It is called without mu.
	refuse func(w http.ResponseWriter, r *http.Request) bool
}

type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value"`
	Revision   uint64 `json:"revision"`
	Created    uint64 `json:"created"`
	Lease      uint64 `json:"lease"`
	CurrentRev uint64 `json:"current_rev,omitempty"`
}

type event struct {
	item
	Removed bool `json:"removed,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

func newStore() *store {
	s := &store{revision: 100, items: make(map[string]item), leases: make(map[uint64]*lease), changed: make(chan struct{})}
	go s.run()
	return s
}

// run ends leases.
func (s *store) run() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.ends) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// put writes a key regardless of its revision, as the operator and the workers do.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, data, 0)
}

// putBytes writes bytes that may be no JSON.
func (s *store) putBytes(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, value, 0)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(key)
}

func (s *store) write(key string, value []byte, leaseID uint64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = i
	s.publish(event{item: i})
}

func (s *store) delete(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.publish(event{item: item{Key: key, Revision: s.revision}, Removed: true})
}

func (s *store) publish(e event) {
	s.log = append(s.log, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.delete(key)
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.refuse != nil && s.refuse(w, r) {
		return
	}
	q, path := r.URL.Query(), r.URL.Path
	switch {
	case path == "/api/kv-key":
		s.serveKey(w, q.Get("key"))
	case path == "/api/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case path == "/api/kv-watch":
		s.serveWatch(w, r)
	case path == "/api/kv-txn":
		s.serveTxn(w, r)
	case path == "/api/kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(path, "/api/kv-keep/"):
		s.serveKeep(w, number(strings.TrimPrefix(path, "/api/kv-keep/")))
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		s.mu.Lock()
		s.endLease(number(strings.TrimPrefix(path, "/api/kv-lease-end/")))
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{})
	default:
		http.NotFound(w, r)
	}
}

func number(text string) uint64 {
	n, _ := strconv.ParseUint(text, 10, 64)
	return n
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	i, ok := s.items[key]
	i.CurrentRev = s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"current_rev": i.CurrentRev})
		return
	}
	reply(w, http.StatusOK, i)
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	list := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	const pageItems, pageBytes = 500, 1 << 20
	n, size := 0, 0
	for n < len(list) && n < pageItems && (n == 0 || size+len(list[n].Value) <= pageBytes) {
		size += len(list[n].Value)
		n++
	}
	more := n < len(list)
	list = list[:n]
	reply(w, http.StatusOK, map[string]any{"items": list, "has_more": more, "current_rev": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix, after := q.Get("prefix"), number(q.Get("after"))
	timeout := time.After(time.Duration(number(q.Get("wait_ms"))) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.log {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	states, holds := []item{}, true
	for _, e := range t.Expected {
		i, ok := s.items[e.Key]
		if ok {
			states = append(states, i)
		}
		holds = holds && i.Revision == e.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": states})
		return
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, p := range t.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.delete(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var t struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || t.TTL < 1000 {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(t.TTL) * time.Millisecond
	s.leases[s.revision] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": t.TTL})
}

func (s *store) serveKeep(w http.ResponseWriter, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.ends = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}
