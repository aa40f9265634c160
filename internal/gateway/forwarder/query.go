package forwarder

import (
	"strconv"
	"time"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/routing/matcher"
	"gentianstep.example/gentianstep/internal/routing/picker"
)

// priority returns the priority of the request, 0 being the most urgent.
// That of an organisation overrides that of the route.
func (x *exchange) priority() int {
	if x.organisation != nil && x.organisation.HasPriority {
		return x.organisation.Priority
	}
	return x.route.Priority
}

// query returns the picker's query for the request.
func (x *exchange) query(now time.Time) picker.Query {
	q := picker.Query{
		Upstreams: x.cfg.Directory.Usable(x.service),
		Exclude:   x.tried,
		Objective: x.remainingObjective(now),
		BodyBytes: len(x.body),
		HoldTime:  x.queue().all.hold,
		OtherVMs:  int(x.vms.Load()) - 1,
		LoadAge:   x.cfg.View.LoadAge(now),
		LoadsAt:   x.cfg.View.LoadsAt(now),
		OtherLoad: func(id string) picker.Load {
			load := x.cfg.View.OtherLoad(now, id)
			return picker.Load{
				InFlight:     load.InFlight,
				PromptTokens: load.PromptTokens,
				Copying:      time.Duration(load.CopyingMillis) * time.Millisecond,
			}
		},
	}
	vms, connections := x.vms.Load(), x.configuration.Services[x.service].MaxConnections
	q.Limits = func(u *registrar.Upstream) picker.Limits { return x.limits(u.Slots, connections, int(vms)) }
	x.scoped = x.cfg.Directory.Matcher()
	if x.route.CarriesPrompt {
		x.addPrompt(now, &q)
		q.Speed = x.speed(now)
	}
	return q
}

// connectionShare is the share of an upstream's connections that requests may
// use; the rest is for idle connections, orders and cache events.
const connectionShare = 0.6

// limits returns how many requests may wait or run at an upstream with a number of slots
// and connections, 0 if those are not limited, from all VMs and from this one.
func (x *exchange) limits(slots, connections, vms int) picker.Limits {
	limit := plainRequestsPerSlot
	if x.route.CarriesPrompt {
		limit = engineRequestsPerSlot
	}
	limit *= float64(max(slots, 1))
	if connections > 0 {
		// Each request in flight occupies a connection.
		limit = min(limit, connectionShare*float64(connections))
	}
	return picker.Limits{
		Own: max(int(imbalanceFactor*limit/float64(vms)), minRequestsPerVM),
		All: int(limit),
	}
}

// addPrompt adds the prompt to a query, and excludes engines that are changing
// their weights or whose weights are too old.
func (x *exchange) addPrompt(now time.Time, q *picker.Query) {
	view, model := x.cfg.View, x.request.Prompt.Model
	scope := x.scoped.CacheScope(x.organisation)
	prompt := &picker.Prompt{
		Tokens:         x.request.Prompt.Tokens,
		WeightsVersion: func(u *registrar.Upstream) uint64 { return view.WeightsVersion(now, u, model) },
		Holders:        view.Holders,
		Scope:          func(version uint64) string { return versionedScope(scope, version) },
	}
	if parts := x.request.Prompt.Parts; len(parts) > 1 {
		for _, part := range parts[:len(parts)-1] {
			prompt.Shared = append(prompt.Shared, picker.SharedPart{ID: part.ID, Tokens: part.Tokens})
		}
	}
	if engine := x.configuration.Services[x.service].Engine; engine != nil {
		prompt.Engine = picker.Engine{TokenBytes: engine.TokenBytes, LinkBytesPerSecond: engine.LinkBytesPerSecond}
	}
	prompt.Stores = cacheStores(x.configuration)
	oldest := uint64(0)
	oldest, prompt.DueVersion, prompt.NewestVersion = x.wantedWeights(now, model)
	q.Prompt = prompt
	q.Usable = func(u *registrar.Upstream) bool {
		version := view.WeightsVersion(now, u, model)
		return version > 0 && version >= oldest && !view.ChangingWeights(now, u)
	}
}

// cacheStores lists the KV cache stores of a configuration.
func cacheStores(c *matcher.Configuration) []picker.Store {
	var list []picker.Store
	for _, s := range c.Services {
		if s.CacheStore.IsValid() {
			list = append(list, picker.Store{
				ID:                 s.CacheStore.String(),
				Address:            s.CacheStore,
				AvailabilityZone:   s.AvailabilityZone,
				LinkBytesPerSecond: s.LinkBytesPerSecond,
			})
		}
	}
	return list
}

const (
	// staleAfter is the time after which older weights count as stale. Before
	// that, few engines have loaded the newest ones.
	staleAfter = time.Second
	// dueShare is the share of weightsApply after which older weights are used
	// only if no engine has newer ones, and only at a free slot.
	dueShare = 0.45
)

// wantedWeights returns the oldest version of the weights that a new request
// may use, the version below which engines are a last resort, and the version
// below which weights are stale.
func (x *exchange) wantedWeights(now time.Time, model string) (oldest, due, newest uint64) {
	apply := time.Duration(x.weightsApply.Load())
	for _, w := range x.cfg.Directory.DesiredWeightsHistory(model) {
		passed := now.Sub(w.Since)
		if passed >= staleAfter {
			newest = max(newest, w.Version)
		}
		if passed >= time.Duration(dueShare*float64(apply)) {
			due = max(due, w.Version)
		}
		if !now.Before(w.OlderUsableUntil(apply)) {
			oldest = max(oldest, w.Version)
		}
	}
	return oldest, due, newest
}

// versionedScope adds the version of the weights to a cache scope, since cache is copied
// between engines.
func versionedScope(scope string, version uint64) string {
	return scope + scopeVersionSeparator + strconv.FormatUint(version, 10)
}

// scopeVersionSeparator precedes the version of the weights in a cache scope.
const scopeVersionSeparator = "@"
