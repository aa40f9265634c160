package coordinator

import (
	"sync"
	"time"

	"gentianstep.example/gentianstep/internal/caching/cataloguer"
	"gentianstep.example/gentianstep/internal/membership/registrar"
)

const (
	// loadsFor is how long the loads of other VMs are believed.
	loadsFor = time.Second
	// changingFor is how long an engine is taken to be changing its weights
	// without further news; a load takes a fraction of it.
	changingFor = 5 * time.Second
)

// View is what a VM has heard from the hub.
type View struct {
	mu        sync.RWMutex
	loads     map[string]Load
	loadsTill time.Time
	engines   map[string]engineNews
	catalogue *cataloguer.Catalogue
	coming    map[Cached]struct{}
}

type engineNews struct {
	Engine
	changingTill time.Time
}

// NewView returns a View that has heard nothing.
func NewView() *View {
	return &View{engines: make(map[string]engineNews), catalogue: cataloguer.New(), coming: make(map[Cached]struct{})}
}

// Take takes a message of the hub.
func (v *View) Take(now time.Time, s State) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s.First {
		v.engines = make(map[string]engineNews)
		v.catalogue = cataloguer.New()
		clear(v.coming)
	}
	v.loads, v.loadsTill = s.Loads, now.Add(loadsFor)
	for _, e := range s.Engines {
		// Times travel as fractions of seconds, which are not exact.
		e.StartedAt = e.StartedAt.Round(time.Millisecond)
		v.engines[e.Upstream] = engineNews{Engine: e, changingTill: now.Add(changingFor)}
	}
	for _, c := range s.Cached {
		v.catalogue.SetTokens(c.Upstream, c.part(), c.Tokens)
		key := Cached{Upstream: c.Upstream, Scope: c.Scope, ID: c.ID}
		delete(v.coming, key)
		if c.Coming {
			v.coming[key] = struct{}{}
		}
	}
}

// Load returns what the other VMs have at an upstream.
func (v *View) Load(now time.Time, upstream string) Load {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if now.After(v.loadsTill) {
		return Load{}
	}
	return v.loads[upstream]
}

// Changing reports whether an engine is changing its weights.
func (v *View) Changing(now time.Time, u *registrar.Upstream) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	e, ok := v.engines[u.ID]
	return ok && e.Changing && e.StartedAt.Equal(u.StartedAt) && now.Before(e.changingTill)
}

// Weights returns the newest version known of a model at an engine, 0 where it
// does not serve the model.
func (v *View) Weights(u *registrar.Upstream, model string) uint64 {
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

// Learn notes a version that an engine has shown.
func (v *View) Learn(u *registrar.Upstream, model string, version uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.engines[u.ID]
	if !ok || !e.StartedAt.Equal(u.StartedAt) {
		e = engineNews{Engine: Engine{Upstream: u.ID, StartedAt: u.StartedAt}}
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

// Holders returns how much of a part each upstream holds or is about to read.
func (v *View) Holders(part cataloguer.Part) map[string]cataloguer.Holding {
	v.mu.RLock()
	defer v.mu.RUnlock()
	holders := v.catalogue.Holders(part)
	holdings := make(map[string]cataloguer.Holding, len(holders))
	for upstream, tokens := range holders {
		_, coming := v.coming[Cached{Upstream: upstream, Scope: part.Scope, ID: part.ID}]
		holdings[upstream] = cataloguer.Holding{Tokens: tokens, Pending: coming}
	}
	return holdings
}
