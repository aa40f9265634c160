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
	// pushInterval is the minimum time between two messages to one VM.
	pushInterval = 20 * time.Millisecond
	// pendingTimeout is how long a part that was sent to an upstream counts as pending;
	// the prefill of the longest prompts takes that long.
	pendingTimeout = 3 * time.Second
	// reportTimeout is the age of a VM's last report from which on its loads are
	// ignored.
	reportTimeout = 2 * time.Second
)

// HubConfig configures a Hub.
type HubConfig struct {
	// Active reports whether this VM currently is the hub.
	Active func() bool
	Log    *logrus.Entry
}

// Hub aggregates the reports of the VMs and pushes the result to them, while this VM
// is the active hub.
type Hub struct {
	cfg HubConfig

	mu        sync.Mutex
	sessions  map[*session]struct{}
	engines   map[string]Engine
	catalogue *cataloguer.Catalogue
	// pending maps parts that were sent to upstreams to the time until which they
	// count as pending.
	pending map[CachedPart]time.Time
}

// session is the connection of one VM, with the changes yet to be pushed to it.
type session struct {
	node       string
	loads      map[string]Load
	reportedAt time.Time
	// full is true if the next message must hold the full state.
	full           bool
	changedEngines map[string]struct{}
	changedParts   map[CachedPart]struct{}
	// changed has a buffer of one, so that a slow VM blocks nobody.
	changed chan struct{}
}

// NewHub returns a Hub without sessions.
func NewHub(cfg HubConfig) *Hub {
	return &Hub{
		cfg:       cfg,
		sessions:  make(map[*session]struct{}),
		engines:   make(map[string]Engine),
		catalogue: cataloguer.New(),
		pending:   make(map[CachedPart]time.Time),
	}
}

// Reset discards the states of engines, since another VM may have ordered changes of
// weights in the meantime, and pushes the full state to every VM. The cached parts are
// kept: the readers of cache events remove them when they stop.
func (h *Hub) Reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.engines = make(map[string]Engine)
	for s := range h.sessions {
		s.full = true
		clear(s.changedEngines)
		s.notify()
	}
}

// SetEngine sets the state of an engine.
func (h *Hub) SetEngine(e Engine) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, ok := h.engines[e.Upstream]
	if ok && known.StartedAt.Equal(e.StartedAt) && known.ChangingWeights == e.ChangingWeights && maps.Equal(known.Weights, e.Weights) {
		return
	}
	h.engines[e.Upstream] = e
	for s := range h.sessions {
		s.changedEngines[e.Upstream] = struct{}{}
		s.notify()
	}
}

// SetCached sets the number of tokens of a part that an upstream has cached. The part
// is no longer pending.
func (h *Hub) SetCached(upstream string, part cataloguer.Part, tokens int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.pending, CachedPart{Upstream: upstream, Scope: part.Scope, ID: part.ID})
	h.catalogue.SetTokens(upstream, part, tokens)
	h.markPart(upstream, part)
}

// updatePending adds the parts that were sent to upstreams and removes those whose
// timeout has passed without a cache event. The caller must hold h.mu.
func (h *Hub) updatePending(now time.Time, sent []CachedPart) {
	for c, until := range h.pending {
		if now.After(until) {
			delete(h.pending, c)
			h.catalogue.SetTokens(c.Upstream, c.part(), 0)
			h.markPart(c.Upstream, c.part())
		}
	}
	for _, c := range sent {
		key := CachedPart{Upstream: c.Upstream, Scope: c.Scope, ID: c.ID}
		if _, pending := h.pending[key]; !pending && h.catalogue.Tokens(c.Upstream, c.part()) >= c.Tokens {
			continue // already cached
		}
		h.pending[key] = now.Add(pendingTimeout)
		h.catalogue.SetTokens(c.Upstream, c.part(), c.Tokens)
		h.markPart(c.Upstream, c.part())
	}
}

// RemoveUpstream removes all cached parts of an upstream.
func (h *Hub) RemoveUpstream(upstream string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, part := range h.catalogue.RemoveUpstream(upstream) {
		h.markPart(upstream, part)
	}
}

// markPart marks a part as changed in every session. The caller must hold h.mu.
func (h *Hub) markPart(upstream string, part cataloguer.Part) {
	for s := range h.sessions {
		s.changedParts[CachedPart{Upstream: upstream, Scope: part.Scope, ID: part.ID}] = struct{}{}
		s.notify()
	}
}

// notify wakes the session's runPush.
func (s *session) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// TotalLoads returns the sums of the loads of all VMs, by upstream.
func (h *Hub) TotalLoads() map[string]Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sumLoads(time.Now(), nil)
}

// sumLoads sums the loads of all VMs except one, by upstream. The caller must hold
// h.mu.
func (h *Hub) sumLoads(now time.Time, except *session) map[string]Load {
	totals := make(map[string]Load)
	for s := range h.sessions {
		if s == except || now.Sub(s.reportedAt) > reportTimeout {
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

// ServeHTTP serves the connection of one VM until it ends or this VM is no longer the
// hub.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !h.cfg.Active() {
		http.Error(w, "this VM is not the hub", http.StatusServiceUnavailable)
		return
	}
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has written the error response
	}
	defer func() { _ = ws.CloseNow() }()
	ws.SetReadLimit(maxMessageBytes)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	s := h.addSession()
	defer h.removeSession(s)
	go h.runPush(ctx, ws, s)
	for h.cfg.Active() {
		var report Report
		if err := messenger.ReadValue(ctx, ws, &report); err != nil {
			return // the VM reconnects
		}
		if err := report.Check(); err != nil {
			h.cfg.Log.WithError(err).WithField("event", "report_refused").Warn("report from VM rejected")
			return
		}
		h.applyReport(s, report)
	}
}

// addSession adds a session that starts with the full state.
func (h *Hub) addSession() *session {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := &session{
		full:           true,
		reportedAt:     time.Now(),
		changedEngines: make(map[string]struct{}),
		changedParts:   make(map[CachedPart]struct{}),
		changed:        make(chan struct{}, 1),
	}
	h.sessions[s] = struct{}{}
	s.notify()
	return s
}

func (h *Hub) removeSession(s *session) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.sessions, s)
}

// applyReport stores the loads of a VM and notifies the others if they have changed.
func (h *Hub) applyReport(s *session, r Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s.node, s.reportedAt = r.Node, time.Now()
	h.updatePending(s.reportedAt, r.SentParts)
	if maps.Equal(s.loads, r.Loads) {
		return
	}
	s.loads = r.Loads
	for other := range h.sessions {
		if other != s {
			other.notify()
		}
	}
}

// runPush sends changes to a VM, at most one message per pushInterval, until its
// connection ends.
func (h *Hub) runPush(ctx context.Context, ws *websocket.Conn, s *session) {
	ticker := time.NewTicker(pushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
		}
		if err := messenger.WriteValue(ctx, ws, h.nextState(s)); err != nil {
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

// nextState returns the next message to a VM and clears its changes.
func (h *Hub) nextState(s *session) State {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := State{Full: s.full, Loads: h.sumLoads(time.Now(), s)}
	if s.full {
		s.full = false
		for id := range h.engines {
			s.changedEngines[id] = struct{}{}
		}
		h.catalogue.Each(func(upstream string, part cataloguer.Part, _ int) {
			s.changedParts[CachedPart{Upstream: upstream, Scope: part.Scope, ID: part.ID}] = struct{}{}
		})
	}
	for id := range s.changedEngines {
		state.Engines = append(state.Engines, h.engines[id])
	}
	for c := range s.changedParts {
		_, c.Pending = h.pending[c]
		c.Tokens = h.catalogue.Tokens(c.Upstream, c.part())
		state.Cached = append(state.Cached, c)
	}
	clear(s.changedEngines)
	clear(s.changedParts)
	return state
}
