package forwarder

import (
	"strconv"
	"time"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/routing/matcher"
	"gentianstep.example/gentianstep/internal/routing/picker"
)

// rank is the urgency of the request, 0 is first.
func (x *exchange) rank() int {
	if x.organisation != nil && x.organisation.HasPriority {
		return x.organisation.Priority
	}
	return x.route.Priority
}

// query describes the request to the picker.
func (x *exchange) query(now time.Time) picker.Query {
	q := picker.Query{
		Upstreams: x.cfg.Directory.Usable(x.service),
		Exclude:   x.tried,
		Objective: x.objective(now),
		BodyBytes: len(x.body),
		Others: func(id string) picker.Load {
			load := x.cfg.View.Load(now, id)
			return picker.Load{
				InFlight:     load.InFlight,
				PromptTokens: load.PromptTokens,
				Copying:      time.Duration(load.CopyingMillis) * time.Millisecond,
			}
		},
	}
	if len(q.Upstreams) > 0 {
		x.limit(&q, q.Upstreams[0].Slots)
	}
	if x.route.Generates {
		x.describe(now, &q)
	}
	return q
}

// connectionShare is the part of an upstream's connections that requests may
// take; the rest is for idle ones, orders and cache events.
const connectionShare = 0.6

// limit sets how many requests may be at one upstream.
func (x *exchange) limit(q *picker.Query, slots int) {
	places := plainPlaces
	if x.route.Generates {
		places = enginePlaces
	}
	places *= float64(max(slots, 1))
	if most := x.configuration.Services[x.service].MaxConnections; most > 0 {
		// Each request in flight holds a connection.
		places = min(places, connectionShare*float64(most))
	}
	q.Limit = int(places)
	q.OwnLimit = max(int(unevenness*places/float64(x.vms.Load())), minPlaces)
}

// describe adds what matters where a prompt is sent.
func (x *exchange) describe(now time.Time, q *picker.Query) {
	view, model := x.cfg.View, x.request.Prompt.Model
	prompt := &picker.Prompt{
		Tokens:  x.request.Prompt.Tokens,
		Weights: func(u *registrar.Upstream) uint64 { return view.Weights(u, model) },
		Holders: view.Holders,
		Scope:   func(version uint64) string { return x.scope(version) },
	}
	if parts := x.request.Prompt.Parts; len(parts) > 1 {
		for _, part := range parts[:len(parts)-1] {
			prompt.Shared = append(prompt.Shared, picker.SharedPart{ID: part.ID, Tokens: part.Tokens})
		}
	}
	if engine := x.configuration.Services[x.service].Engine; engine != nil {
		prompt.Engine = picker.Engine{TokenBytes: engine.TokenBytes, LinkBytesPerSecond: engine.LinkBytesPerSecond}
	}
	prompt.Stores = stores(x.configuration)
	least := uint64(0)
	least, prompt.Due, prompt.Newest = x.wantedWeights(now, model)
	q.Prompt = prompt
	q.Usable = func(u *registrar.Upstream) bool {
		version := view.Weights(u, model)
		return version > 0 && version >= least && !view.Changing(now, u)
	}
}

// stores lists the stores of kept cache of a configuration.
func stores(c *matcher.Configuration) []picker.Store {
	var list []picker.Store
	for _, s := range c.Services {
		if s.KeptCache.IsValid() {
			list = append(list, picker.Store{
				ID:                 s.KeptCache.String(),
				Address:            s.KeptCache,
				AvailabilityZone:   s.AvailabilityZone,
				LinkBytesPerSecond: s.LinkBytesPerSecond,
			})
		}
	}
	return list
}

const (
	// staleAfter is how long older weights are as good as the newest: until then
	// few engines have those.
	staleAfter = time.Second
	// dueShare is the part of the time for new weights after which older ones
	// are used only where there is nothing else.
	dueShare = 0.45
	// lateShare is the part after which they are no longer used; the rest covers
	// the wait of a request at its engine.
	lateShare = 0.6
)

// wantedWeights returns the oldest version of the weights that may begin a
// request, the newest that is due soon, and the newest that is wanted.
func (x *exchange) wantedWeights(now time.Time, model string) (least, due, newest uint64) {
	apply := float64(x.weightsApply.Load())
	for _, w := range x.cfg.Directory.WantedWeights(model) {
		passed := now.Sub(w.Since)
		if passed >= staleAfter {
			newest = max(newest, w.Version)
		}
		if passed >= time.Duration(dueShare*apply) {
			due = max(due, w.Version)
		}
		if passed >= time.Duration(lateShare*apply) {
			least = max(least, w.Version)
		}
	}
	return least, due, newest
}

// scope names the cache that the request may use: that of one version of the
// weights, since cache is copied between engines, and of one organisation where
// that is isolated.
func (x *exchange) scope(version uint64) string {
	return x.wall() + scopeVersion + strconv.FormatUint(version, 10)
}

// scopeVersion separates the version in the name of a scope.
const scopeVersion = "@"

// wall names the organisation that shares no cache, empty for none.
func (x *exchange) wall() string {
	if x.organisation != nil && x.organisation.Isolated {
		return x.organisation.Name
	}
	return ""
}
