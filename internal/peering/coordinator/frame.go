package coordinator

import (
	"maps"
	"slices"
	"time"

	"gentianstep.example/gentianstep/internal/caching/cataloguer"
	"gentianstep.example/gentianstep/internal/peering/messenger"
)

// maxFrames is the number of frames that are kept. A VM that has fallen further
// behind receives the full state.
const maxFrames = 32

// frame is an encoded State that is sent to all VMs.
type frame struct {
	data []byte
	// reports holds the number of the last report of each session that the loads of
	// the frame include.
	reports map[*session]uint64
	builtAt time.Time
}

// advance builds a frame if there are changes or a message is due, and returns the
// time until the next call.
func (h *Hub) advance(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expireLoads(now)
	h.updatePending(now, nil)
	h.expireDepartures(now)
	h.advanceLedger(now)
	h.updateSpeeds(now)
	granted := h.grantLimits(now)
	if len(h.sessions) == 0 {
		h.dropFrames()
		h.names, h.namesSent = newNameTable(), 0
		return minPushInterval
	}
	messageBytes := 0
	last := h.lastFrame()
	if last != nil {
		messageBytes = len(last.data)
	}
	interval := h.cfg.Capacity.pushInterval(len(h.sessions), messageBytes)
	if last == nil || granted || h.hasChanges() || now.Sub(last.builtAt) >= keepAliveInterval/2 {
		h.appendFrame(now, interval)
		for s := range h.sessions {
			notify(s.changed)
		}
	}
	return interval
}

func (h *Hub) hasChanges() bool {
	return len(h.totals.changed)+len(h.changedEngines)+len(h.changedParts)+len(h.changedDepartures)+len(h.changedSpeeds) > 0 || h.ledger.HasChanges() || h.limits.HasChanges() || h.limits.HasQuotaChanges()
}

func (h *Hub) lastFrame() *frame {
	if len(h.frames) == 0 {
		return nil
	}
	return h.frames[len(h.frames)-1]
}

// appendFrame builds a frame of the changes since the last one. The caller must hold
// h.mu.
func (h *Hub) appendFrame(now time.Time, interval time.Duration) {
	state := State{ReportMillis: interval.Milliseconds()}
	for upstream := range h.totals.changed {
		state.Loads = append(state.Loads, h.upstreamLoad(upstream))
	}
	for id := range h.changedEngines {
		state.Engines = append(state.Engines, h.engines[id])
	}
	for c := range h.changedParts {
		state.Cached = append(state.Cached, h.upstreamPart(c))
	}
	for upstream := range h.changedSpeeds {
		state.Speeds = append(state.Speeds, h.upstreamSpeed(upstream))
	}
	state.Departures = slices.Collect(maps.Keys(h.changedDepartures))
	state.Quarantines = h.drainQuarantines(now)
	state.Limits = newLimits(now, h.limits.DrainChanges())
	state.Quotas = newQuotaStates(h.limits.DrainQuotaStates())
	h.clearChanges()
	state.Names = h.names.names[h.namesSent:]
	h.namesSent = len(h.names.names)
	reports := make(map[*session]uint64, len(h.sessions))
	for s := range h.sessions {
		reports[s] = s.reportNumber
	}
	data, err := messenger.EncodeValue(state)
	if err != nil {
		h.cfg.Log.WithError(err).WithField("event", "state_not_sent").Error("failed to encode the state for other VMs")
		h.dropFrames()
		return
	}
	h.full = nil
	h.frames = append(h.frames, &frame{data: data, reports: reports, builtAt: now})
	if over := len(h.frames) - maxFrames; over > 0 {
		clear(h.frames[:over])
		h.frames = h.frames[over:]
		h.firstFrame += uint64(over)
	}
}

// dropFrames makes every VM receive the full state next, which holds all changes. The
// caller must hold h.mu.
func (h *Hub) dropFrames() {
	h.clearChanges()
	h.firstFrame += uint64(len(h.frames)) + 1
	h.frames, h.full = nil, nil
}

func (h *Hub) clearChanges() {
	clear(h.totals.changed)
	clear(h.changedEngines)
	clear(h.changedParts)
	clear(h.changedDepartures)
	clear(h.changedSpeeds)
	h.drainQuarantines(time.Now())
	h.limits.DrainChanges()
}

// nextMessage returns the next message to a VM and its head, or false if the VM has
// received everything. The caller must hold h.mu.
func (h *Hub) nextMessage(s *session) (data []byte, head Head, isFull, ok bool) {
	newest := h.firstFrame + uint64(len(h.frames))
	switch {
	case len(h.frames) == 0 || s.nextFrame == newest:
		return nil, Head{}, false, false
	case s.nextFrame < h.firstFrame || s.nextFrame > newest:
		s.nextFrame = newest
		return h.fullState(), s.takeHead(h.lastFrame()), true, true
	}
	f := h.frames[s.nextFrame-h.firstFrame]
	s.nextFrame++
	return f.data, s.takeHead(f), false, true
}

// fullState returns the encoded state as of the newest frame. Changes since then may
// be included; the next frame repeats them. The caller must hold h.mu.
func (h *Hub) fullState() []byte {
	if h.full != nil {
		return h.full
	}
	now := time.Now()
	state := State{
		Full:        true,
		Departures:  slices.Collect(maps.Keys(h.departures)),
		Quarantines: newQuarantines(now, h.ledger.Rows()),
		Limits:      newLimits(now, h.limits.Limits()),
		Quotas:      newQuotaStates(h.limits.QuotaStates()),
	}
	for upstream := range h.totals.sums {
		state.Loads = append(state.Loads, h.upstreamLoad(upstream))
	}
	for _, f := range h.speeds.Factors() {
		state.Speeds = append(state.Speeds, h.upstreamSpeed(f.Upstream))
	}
	for _, e := range h.engines {
		state.Engines = append(state.Engines, e)
	}
	h.catalogue.Each(func(upstream string, part cataloguer.Part, _ int) {
		state.Cached = append(state.Cached, h.upstreamPart(CachedPart{Upstream: upstream, Scope: part.Scope, ID: part.ID}))
	})
	// The next frame announces the names that are new since the newest one, so that
	// the table must not hold them yet. Rows that use them are left to that frame.
	state.Names = h.names.names[:h.namesSent]
	state.Loads = slices.DeleteFunc(state.Loads, func(l UpstreamLoad) bool { return l.Upstream >= h.namesSent })
	state.Speeds = slices.DeleteFunc(state.Speeds, func(s UpstreamSpeed) bool { return s.Upstream >= h.namesSent })
	state.Cached = slices.DeleteFunc(state.Cached, func(p UpstreamPart) bool { return max(p.Upstream, p.Scope) >= h.namesSent })
	data, err := messenger.EncodeValue(state)
	if err != nil {
		h.cfg.Log.WithError(err).WithField("event", "state_not_sent").Error("failed to encode the state for other VMs")
		return nil
	}
	h.full = data
	return data
}

func (h *Hub) upstreamLoad(upstream string) UpstreamLoad {
	sum := h.totals.sums[upstream]
	return UpstreamLoad{
		Upstream:      h.names.number(upstream),
		InFlight:      sum.InFlight,
		PromptTokens:  sum.PromptTokens,
		CopyingMillis: sum.CopyingMillis,
	}
}

func (h *Hub) upstreamPart(c CachedPart) UpstreamPart {
	_, pending := h.pending[c]
	return UpstreamPart{
		Upstream: h.names.number(c.Upstream),
		Scope:    h.names.number(c.Scope),
		ID:       c.ID,
		Tokens:   h.catalogue.Tokens(c.Upstream, c.part()),
		Pending:  pending,
	}
}
