package coordinator

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/peering/messenger"

	"gentianstep.example/gentianstep/internal/caching/cataloguer"
)

const (
	// pushEvery is the least time between two states to one VM.
	pushEvery = 20 * time.Millisecond
	// comingFor is how long a part that was sent to be read is expected; the
	// longest prompts take that long.
	comingFor = 3 * time.Second
	// reportSilence is how long a VM may be silent before its loads are void.
	reportSilence = 2 * time.Second
)

// HubConfig holds what a Hub is built from.
type HubConfig struct {
	// Active reports whether this VM is the hub now.
	Active func() bool
	Log    *logrus.Entry
}

// Hub serves the VMs of a deployment while its VM is the active one.
type Hub struct {
	cfg HubConfig

	mu        sync.Mutex
	sessions  map[*session]struct{}
	engines   map[string]Engine
	catalogue *cataloguer.Catalogue
	// coming holds until when parts are expected that were sent to be read.
	coming map[Cached]time.Time
}

// session is the connection of one VM with what it has not been told yet.
type session struct {
	node    string
	loads   map[string]Load
	heardAt time.Time
	first   bool
	engines map[string]struct{}
	cached  map[Cached]struct{}
	// news holds one place, so that nothing waits for a slow VM.
	news chan struct{}
}

// NewHub returns a Hub without VMs.
func NewHub(cfg HubConfig) *Hub {
	return &Hub{
		cfg:       cfg,
		sessions:  make(map[*session]struct{}),
		engines:   make(map[string]Engine),
		catalogue: cataloguer.New(),
		coming:    make(map[Cached]time.Time),
	}
}

// Reset forgets which engines change their weights, since another VM may have
// ordered that meanwhile, and tells every VM all that is known. What engines hold
// stays: it is dropped by those who read their cache events when they stop.
func (h *Hub) Reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.engines = make(map[string]Engine)
	for s := range h.sessions {
		s.first = true
		clear(s.engines)
		s.wake()
	}
}

// SetEngine notes the state of an engine.
func (h *Hub) SetEngine(e Engine) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, ok := h.engines[e.Upstream]
	if ok && known.StartedAt.Equal(e.StartedAt) && known.Changing == e.Changing && maps.Equal(known.Weights, e.Weights) {
		return
	}
	h.engines[e.Upstream] = e
	for s := range h.sessions {
		s.engines[e.Upstream] = struct{}{}
		s.wake()
	}
}

// SetCached notes how much of a part an upstream holds.
func (h *Hub) SetCached(upstream string, part cataloguer.Part, tokens int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.coming, Cached{Upstream: upstream, Scope: part.Scope, ID: part.ID})
	h.catalogue.SetTokens(upstream, part, tokens)
	h.mark(upstream, part)
}

// expect notes parts that were sent to be read, and drops those that did not
// come.
func (h *Hub) expect(now time.Time, sent []Cached) {
	for c, until := range h.coming {
		if now.After(until) {
			delete(h.coming, c)
			h.catalogue.SetTokens(c.Upstream, c.part(), 0)
			h.mark(c.Upstream, c.part())
		}
	}
	for _, c := range sent {
		key := Cached{Upstream: c.Upstream, Scope: c.Scope, ID: c.ID}
		if _, expected := h.coming[key]; !expected && h.catalogue.Tokens(c.Upstream, c.part()) >= c.Tokens {
			continue // held already
		}
		h.coming[key] = now.Add(comingFor)
		h.catalogue.SetTokens(c.Upstream, c.part(), c.Tokens)
		h.mark(c.Upstream, c.part())
	}
}

// Forget notes that an upstream holds nothing any more.
func (h *Hub) Forget(upstream string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, part := range h.catalogue.RemoveUpstream(upstream) {
		h.mark(upstream, part)
	}
}

func (h *Hub) mark(upstream string, part cataloguer.Part) {
	for s := range h.sessions {
		s.cached[Cached{Upstream: upstream, Scope: part.Scope, ID: part.ID}] = struct{}{}
		s.wake()
	}
}

func (s *session) wake() {
	select {
	case s.news <- struct{}{}:
	default:
	}
}

// Totals returns the loads of all VMs.
func (h *Hub) Totals() map[string]Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.totals(time.Now(), nil)
}

// totals sums the loads of all VMs but one.
func (h *Hub) totals(now time.Time, but *session) map[string]Load {
	totals := make(map[string]Load)
	for s := range h.sessions {
		if s == but || now.Sub(s.heardAt) > reportSilence {
			continue
		}
		for upstream, load := range s.loads {
			sum := totals[upstream]
			sum.InFlight += load.InFlight
			sum.PromptTokens += load.PromptTokens
			sum.CopyingMillis += load.CopyingMillis
			totals[upstream] = sum
		}
	}
	return totals
}

// ServeHTTP takes the connection of a VM.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !h.cfg.Active() {
		http.Error(w, "this VM is not the hub", http.StatusServiceUnavailable)
		return
	}
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has answered
	}
	defer func() { _ = ws.CloseNow() }()
	ws.SetReadLimit(maxMessageBytes)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	s := h.join()
	defer h.leave(s)
	go h.runPush(ctx, ws, s)
	for h.cfg.Active() {
		var report Report
		if err := messenger.ReadValue(ctx, ws, &report); err != nil {
			return // the VM connects again
		}
		if err := report.Check(); err != nil {
			h.cfg.Log.WithError(err).WithField("event", "report_refused").Warn("VM sent an invalid report")
			return
		}
		h.take(s, report)
	}
}

func (h *Hub) join() *session {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := &session{
		first:   true,
		heardAt: time.Now(),
		engines: make(map[string]struct{}),
		cached:  make(map[Cached]struct{}),
		news:    make(chan struct{}, 1),
	}
	h.sessions[s] = struct{}{}
	s.wake()
	return s
}

func (h *Hub) leave(s *session) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.sessions, s)
}

func (h *Hub) take(s *session, r Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s.node, s.heardAt = r.Node, time.Now()
	h.expect(s.heardAt, r.Sent)
	if maps.Equal(s.loads, r.Loads) {
		return
	}
	s.loads = r.Loads
	for other := range h.sessions {
		if other != s {
			other.wake()
		}
	}
}

// runPush tells a VM what is new until its connection ends.
func (h *Hub) runPush(ctx context.Context, ws *websocket.Conn, s *session) {
	ticker := time.NewTicker(pushEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.news:
		}
		if err := messenger.WriteValue(ctx, ws, h.news(s)); err != nil {
			_ = ws.CloseNow()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// news returns what a VM has not been told yet.
func (h *Hub) news(s *session) State {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := State{First: s.first, Loads: h.totals(time.Now(), s)}
	if s.first {
		s.first = false
		for id := range h.engines {
			s.engines[id] = struct{}{}
		}
		h.catalogue.Each(func(upstream string, part cataloguer.Part, _ int) {
			s.cached[Cached{Upstream: upstream, Scope: part.Scope, ID: part.ID}] = struct{}{}
		})
	}
	for id := range s.engines {
		state.Engines = append(state.Engines, h.engines[id])
	}
	for c := range s.cached {
		_, c.Coming = h.coming[c]
		c.Tokens = h.catalogue.Tokens(c.Upstream, c.part())
		state.Cached = append(state.Cached, c)
	}
	clear(s.engines)
	clear(s.cached)
	return state
}
