package coordinator

import (
	"sync"
	"time"

	"gentianstep.example/gentianstep/internal/caching/cataloguer"
	"gentianstep.example/gentianstep/internal/membership/registrar"
)

const (
	// loadsTTLFactor is how long the received loads of other VMs are used, as a
	// multiple of the hub's interval.
	loadsTTLFactor = 2
	// maxLoadAge is the age of loads that are not known at all: requests are usually
	// complete after that time.
	maxLoadAge = time.Second
	// networkLatency is the latency from a VM to the hub and from there to another VM,
	// which may be in other regions.
	networkLatency = 15 * time.Millisecond
	// changingTTL is how long an engine counts as changing its weights after the last
	// message about it; loading weights takes a fraction of that time.
	changingTTL = 5 * time.Second
	// weightsTTL is how long the weights of an engine are kept if a later hub does not state
	// them. The engine's entry shows them within a heartbeat.
	weightsTTL = time.Minute
)

// View is the state that a VM has received from the hub.
type View struct {
	mu sync.RWMutex
	// names is the hub's table of names.
	names []string
	// loads holds the loads of all VMs, and ownLoads those of this VM that they
	// include.
	loads         map[string]Load
	ownLoads      map[string]Load
	loadsExpireAt time.Time
	// receivedAt is when the last message was received, and interval the time between
	// two reports of a VM.
	receivedAt time.Time
	interval   time.Duration
	engines    map[string]engineState
	catalogue  *cataloguer.Catalogue
	// pending holds the parts of the catalogue that are yet to be prefilled.
	pending map[CachedPart]struct{}
	// corrections holds the older weights that engines named, by upstream.
	corrections map[string]correction
	// speeds holds the factors other than 1, by upstream.
	speeds map[string]speed
}

// engineState is an Engine with the expiry of its ChangingWeights mark and of its weights.
type engineState struct {
	Engine
	changingExpiresAt time.Time
	weightsExpireAt   time.Time
}

// NewView returns an empty View.
func NewView() *View {
	return &View{
		loads: make(map[string]Load), engines: make(map[string]engineState), catalogue: cataloguer.New(),
		pending: make(map[CachedPart]struct{}), corrections: make(map[string]correction), speeds: make(map[string]speed),
	}
}

// Apply updates the view with a message from the hub. ownLoads are the loads of this VM
// that the hub's loads include.
func (v *View) Apply(now time.Time, s State, ownLoads map[string]Load) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := s.Check(len(v.names)); err != nil {
		return err
	}
	if s.Full {
		v.names = nil
		v.loads = make(map[string]Load)
		v.keepWeights(now)
		v.catalogue = cataloguer.New()
		clear(v.pending)
	}
	v.names = append(v.names, s.Names...)
	v.applySpeeds(now, s)
	for _, l := range s.Loads {
		v.setLoad(v.names[l.Upstream], Load{l.InFlight, l.PromptTokens, l.CopyingMillis})
	}
	v.receivedAt, v.interval = now, max(reportInterval, time.Duration(s.ReportMillis)*time.Millisecond)
	v.ownLoads, v.loadsExpireAt = ownLoads, now.Add(loadsTTLFactor*max(keepAliveInterval, v.interval))
	for _, e := range s.Engines {
		// Times are encoded as floating-point seconds, which are not exact.
		e.StartedAt = e.StartedAt.Round(time.Millisecond)
		delete(v.corrections, e.Upstream)
		v.engines[e.Upstream] = engineState{Engine: e, changingExpiresAt: now.Add(changingTTL), weightsExpireAt: now.Add(weightsTTL)}
	}
	for _, p := range s.Cached {
		key := CachedPart{Upstream: v.names[p.Upstream], Scope: v.names[p.Scope], ID: p.ID}
		v.catalogue.SetTokens(key.Upstream, key.part(), p.Tokens)
		delete(v.pending, key)
		if p.Pending {
			v.pending[key] = struct{}{}
		}
	}
	return nil
}

// keepWeights keeps only the weights of the engines when another hub sends its state, which
// lacks changes that neither a report nor an entry has shown yet.
func (v *View) keepWeights(now time.Time) {
	for upstream, e := range v.engines {
		e.changingExpiresAt = time.Time{}
		v.engines[upstream] = e
		if now.After(e.weightsExpireAt) {
			delete(v.engines, upstream)
		}
	}
}

func (v *View) setLoad(upstream string, load Load) {
	if load == (Load{}) {
		delete(v.loads, upstream)
		return
	}
	v.loads[upstream] = load
}

// OtherLoad returns the load that the other VMs put on an upstream. It is zero if
// the last message from the hub is too old.
func (v *View) OtherLoad(now time.Time, upstream string) Load {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if now.After(v.loadsExpireAt) {
		return Load{}
	}
	return v.loads[upstream].minus(v.ownLoads[upstream])
}

// LoadAge returns the mean age of the loads of other VMs that this VM knows: the time
// since the last message, half of the interval of reports, and that of two ways over the
// network. It is at most maxLoadAge.
func (v *View) LoadAge(now time.Time) time.Duration {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if v.receivedAt.IsZero() || now.After(v.loadsExpireAt) {
		return maxLoadAge
	}
	return min(now.Sub(v.receivedAt)+v.interval/2+networkLatency, maxLoadAge)
}

// LoadsAt returns when the latest loads of other VMs were received, zero if they are too old
// to be used.
func (v *View) LoadsAt(now time.Time) time.Time {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if now.After(v.loadsExpireAt) {
		return time.Time{}
	}
	return v.receivedAt
}

// ChangingWeights reports whether an engine, identified by its ID and start time,
// is changing its weights.
func (v *View) ChangingWeights(now time.Time, u *registrar.Upstream) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	e, ok := v.engines[u.ID]
	return ok && e.ChangingWeights && e.StartedAt.Equal(u.StartedAt) && now.Before(e.changingExpiresAt)
}

// WeightsVersion returns the highest weights version of a model that is known of an
// engine, a lower one that the engine itself has named since, or 0 if the engine does
// not serve the model.
func (v *View) WeightsVersion(now time.Time, u *registrar.Upstream, model string) uint64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	version, serves := u.Weights[model]
	if !serves {
		return 0
	}
	if corrected, ok := v.correctedVersion(now, u, model); ok {
		return corrected
	}
	if e, ok := v.engines[u.ID]; ok && e.StartedAt.Equal(u.StartedAt) {
		return max(version, e.Weights[model])
	}
	return version
}

// RecordWeightsVersion records the weights version of a model that an engine reported
// in a response. known is the version that was known when the request was sent: a lower
// one in the response proves that wrong. Other lower versions may be from before a change
// and are ignored.
func (v *View) RecordWeightsVersion(now time.Time, u *registrar.Upstream, model string, version, known uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version < known {
		v.correct(now, u, model, version)
		return
	}
	if c, ok := v.correctedVersion(now, u, model); ok && version > c {
		delete(v.corrections, u.ID)
	}
	e, ok := v.engines[u.ID]
	if !ok || !e.StartedAt.Equal(u.StartedAt) {
		e = engineState{Engine: Engine{Upstream: u.ID, StartedAt: u.StartedAt}}
	}
	if version <= max(e.Weights[model], u.Weights[model]) {
		return
	}
	weights := map[string]uint64{model: version}
	for m, known := range e.Weights {
		if m != model {
			weights[m] = known
		}
	}
	e.Weights, e.weightsExpireAt = weights, now.Add(weightsTTL)
	v.engines[u.ID] = e
}

// Holders returns the tokens of a part that each upstream has cached or is yet to
// prefill.
func (v *View) Holders(part cataloguer.Part) map[string]cataloguer.Holding {
	v.mu.RLock()
	defer v.mu.RUnlock()
	holders := v.catalogue.Holders(part)
	holdings := make(map[string]cataloguer.Holding, len(holders))
	for upstream, tokens := range holders {
		_, pending := v.pending[CachedPart{Upstream: upstream, Scope: part.Scope, ID: part.ID}]
		holdings[upstream] = cataloguer.Holding{Tokens: tokens, Pending: pending}
	}
	return holdings
}
