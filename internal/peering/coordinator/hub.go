package coordinator

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"gentianstep.example/gentianstep/internal/caching/cataloguer"
	"gentianstep.example/gentianstep/internal/operating/pauser"
	"gentianstep.example/gentianstep/internal/routing/gauger"
	"gentianstep.example/gentianstep/internal/routing/quarantiner"
	"gentianstep.example/gentianstep/internal/routing/throttler"
)

const (
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
	// Fleet returns all VMs of the deployment, with a connection to the hub or without. It
	// may be nil.
	Fleet func() throttler.Fleet
	// Quotas returns the quotas of organisations and the version of the configuration that
	// they are from. It may be nil.
	Quotas   func() (quotas map[string]throttler.Quota, version uint64)
	Capacity Capacity
	Log      *logrus.Entry
}

// Hub aggregates the reports of the VMs and pushes the result to them, while this VM
// is the active hub.
type Hub struct {
	cfg        HubConfig
	fullStates *rate.Limiter

	mu        sync.Mutex
	sessions  map[*session]struct{}
	names     *nameTable
	totals    *loadTotals
	engines   map[string]Engine
	catalogue *cataloguer.Catalogue
	// pending maps parts that were sent to upstreams to the time until which they
	// count as pending.
	pending map[CachedPart]time.Time

	// departures maps the reported departures to the time until which VMs are told.
	departures map[Departure]time.Time

	// ledger decides on quarantines from the evidence of all VMs.
	ledger *quarantiner.Ledger
	// ledgerTimer wakes Run when the next decision is due.
	ledgerTimer wakeTimer
	// limits divides the limits that upstreams state, and limitTimer wakes Run when the next
	// request can be granted.
	limits     *throttler.Allocator[*session]
	limitTimer wakeTimer
	// quotasVersion is the version of the quotas of limits, and quotaTimer wakes Run while
	// requests wait for one.
	quotasVersion uint64
	quotaTimer    wakeTimer
	// speeds estimates the speeds of engines from the samples of all VMs.
	speeds *gauger.Gauger

	// changedEngines, changedParts, changedDepartures and changedSpeeds are the changes since
	// the last frame.
	changedEngines    map[string]struct{}
	changedParts      map[CachedPart]struct{}
	changedDepartures map[Departure]struct{}
	changedSpeeds     map[string]struct{}
	// frames holds the latest frames, the newest last. The first one has the number
	// firstFrame.
	frames     []*frame
	firstFrame uint64
	// namesSent is the number of names that the frames have announced.
	namesSent int
	// full is the encoded full state as of the newest frame, nil until it is needed.
	full []byte
	// wake has a buffer of one; it makes Run build a frame. urgent, likewise, makes it
	// build one before the push interval is over.
	wake   chan struct{}
	urgent chan struct{}
}

// NewHub returns a Hub without sessions. Run builds its messages.
func NewHub(cfg HubConfig) *Hub {
	return &Hub{
		cfg:               cfg,
		fullStates:        cfg.Capacity.fullStateLimiter(),
		sessions:          make(map[*session]struct{}),
		names:             newNameTable(),
		totals:            newLoadTotals(),
		engines:           make(map[string]Engine),
		catalogue:         cataloguer.New(),
		pending:           make(map[CachedPart]time.Time),
		changedEngines:    make(map[string]struct{}),
		changedParts:      make(map[CachedPart]struct{}),
		departures:        make(map[Departure]time.Time),
		ledger:            quarantiner.NewLedger(),
		limits:            throttler.NewAllocator[*session](),
		changedDepartures: make(map[Departure]struct{}),
		speeds:            gauger.New(),
		changedSpeeds:     make(map[string]struct{}),
		// Sessions start at frame 0, so that their first message is the full state.
		firstFrame: 1,
		wake:       make(chan struct{}, 1),
		urgent:     make(chan struct{}, 1),
	}
}

// Run builds a frame when something has changed, at most one per push interval, until
// ctx is done.
func (h *Hub) Run(ctx context.Context) {
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.wake:
		case <-ticker.C:
		}
		h.pause(ctx, h.advance(time.Now()))
	}
}

// pause waits until the next frame may be built: for the push interval, or less if an
// engine is about to change its weights.
func (h *Hub) pause(ctx context.Context, interval time.Duration) {
	if !pauser.Pause(ctx, minPushInterval) {
		return
	}
	timer := time.NewTimer(interval - minPushInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-h.urgent:
	}
}

// signal wakes Run. It does nothing if a signal is pending already.
func (h *Hub) signal() { notify(h.wake) }

// notify sends to a channel with a buffer of one unless a signal is pending there.
func notify(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// Reset discards the states of engines, since another VM may have ordered changes of
// weights in the meantime, and makes every VM receive the full state. The cached parts
// are kept: the readers of cache events remove them when they stop.
func (h *Hub) Reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.engines = make(map[string]Engine)
	h.dropFrames()
	h.signal()
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
	h.changedEngines[e.Upstream] = struct{}{}
	h.signal()
	if e.ChangingWeights {
		// The other VMs must stop sending to the engine before it gets its order.
		notify(h.urgent)
	}
}

// SetCached sets the number of tokens of a part that an upstream has cached. The part
// is no longer pending.
func (h *Hub) SetCached(upstream string, part cataloguer.Part, tokens int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := CachedPart{Upstream: upstream, Scope: part.Scope, ID: part.ID}
	delete(h.pending, key)
	h.catalogue.SetTokens(upstream, part, tokens)
	h.changedParts[key] = struct{}{}
	h.signal()
}

// updatePending adds the parts that were sent to upstreams and removes those whose
// timeout has passed without a cache event. The caller must hold h.mu.
func (h *Hub) updatePending(now time.Time, sent []CachedPart) {
	for c, until := range h.pending {
		if now.After(until) {
			delete(h.pending, c)
			h.catalogue.SetTokens(c.Upstream, c.part(), 0)
			h.changedParts[c] = struct{}{}
		}
	}
	for _, c := range sent {
		key := c.key()
		if _, pending := h.pending[key]; !pending && h.catalogue.Tokens(c.Upstream, c.part()) >= c.Tokens {
			continue // already cached
		}
		h.pending[key] = now.Add(pendingTimeout)
		h.catalogue.SetTokens(c.Upstream, c.part(), c.Tokens)
		h.changedParts[key] = struct{}{}
	}
}

// RemoveUpstream removes all cached parts of an upstream.
func (h *Hub) RemoveUpstream(upstream string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, part := range h.catalogue.RemoveUpstream(upstream) {
		h.changedParts[CachedPart{Upstream: upstream, Scope: part.Scope, ID: part.ID}] = struct{}{}
	}
	h.signal()
}

// TotalLoads returns the sums of the loads of all VMs, by upstream.
func (h *Hub) TotalLoads() map[string]Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.totals.sums)
}

// applyReport stores the loads of a VM. The caller must hold h.mu.
func (h *Hub) applyReport(now time.Time, s *session, r Report) {
	s.reportedAt, s.reportNumber = now, r.Number
	h.updatePending(now, r.SentParts)
	h.addDepartures(now, r.Departures)
	h.applyEvidence(now, r.Node, r.Evidence)
	h.applyLimits(now, s, r)
	h.applySpeeds(now, r.Speeds)
	h.totals.replace(s.loads, r.Loads)
	s.loads = r.Loads
	if h.hasChanges() || len(r.Limits)+len(r.Quotas) > 0 {
		h.signal()
	}
}

// expireLoads removes the loads of the VMs that have stopped reporting. The caller
// must hold h.mu.
func (h *Hub) expireLoads(now time.Time) {
	for s := range h.sessions {
		if s.loads != nil && now.Sub(s.reportedAt) > reportTimeout {
			h.totals.replace(s.loads, nil)
			s.loads = nil
		}
	}
}
