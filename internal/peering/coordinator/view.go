package coordinator

import (
	"sync"
	"time"

	"gentianstep.example/gentianstep/internal/caching/cataloguer"
	"gentianstep.example/gentianstep/internal/membership/registrar"
)

const (
	// loadsTTL is how long the received loads of other VMs are used.
	loadsTTL = time.Second
	// changingTTL is how long an engine counts as changing its weights after the last
	// message about it; loading weights takes a fraction of that time.
	changingTTL = 5 * time.Second
)

// View is the state that a VM has received from the hub.
type View struct {
	mu            sync.RWMutex
	loads         map[string]Load
	loadsExpireAt time.Time
	engines       map[string]engineState
	catalogue     *cataloguer.Catalogue
	// pending holds the parts of the catalogue that are yet to be prefilled.
	pending map[CachedPart]struct{}
}

// engineState is an Engine with the expiry of its ChangingWeights mark.
type engineState struct {
	Engine
	changingExpiresAt time.Time
}

// NewView returns an empty View.
func NewView() *View {
	return &View{engines: make(map[string]engineState), catalogue: cataloguer.New(), pending: make(map[CachedPart]struct{})}
}

// Apply updates the view with a message from the hub.
func (v *View) Apply(now time.Time, s State) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s.Full {
		v.engines = make(map[string]engineState)
		v.catalogue = cataloguer.New()
		clear(v.pending)
	}
	v.loads, v.loadsExpireAt = s.Loads, now.Add(loadsTTL)
	for _, e := range s.Engines {
		// Times are encoded as floating-point seconds, which are not exact.
		e.StartedAt = e.StartedAt.Round(time.Millisecond)
		v.engines[e.Upstream] = engineState{Engine: e, changingExpiresAt: now.Add(changingTTL)}
	}
	for _, c := range s.Cached {
		v.catalogue.SetTokens(c.Upstream, c.part(), c.Tokens)
		key := CachedPart{Upstream: c.Upstream, Scope: c.Scope, ID: c.ID}
		delete(v.pending, key)
		if c.Pending {
			v.pending[key] = struct{}{}
		}
	}
}

// OtherLoad returns the load that the other VMs put on an upstream. It is zero if
// the last message from the hub is too old.
func (v *View) OtherLoad(now time.Time, upstream string) Load {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if now.After(v.loadsExpireAt) {
		return Load{}
	}
	return v.loads[upstream]
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
// engine, or 0 if the engine does not serve the model.
func (v *View) WeightsVersion(u *registrar.Upstream, model string) uint64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	version, serves := u.Weights[model]
	if !serves {
		return 0
	}
	if e, ok := v.engines[u.ID]; ok && e.StartedAt.Equal(u.StartedAt) {
		return max(version, e.Weights[model])
	}
	return version
}

// RecordWeightsVersion records the weights version of a model that an engine reported
// in a response. Lower versions than the known one are ignored.
func (v *View) RecordWeightsVersion(u *registrar.Upstream, model string, version uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
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
	e.Weights = weights
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
