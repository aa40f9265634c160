package planner

import (
	"cmp"
	"slices"

	"gentianstep.example/gentianstep/internal/bundle/checker"
)

// unloadUnknown frees engines of models that the bundle does not give them.
func (v *view) unloadUnknown() {
	for i, e := range v.engines {
		if v.busy(e) {
			continue
		}
		for _, l := range e.Ready {
			if !e.allows(l.Model) {
				v.order(i, UnloadModel, l, nil, NotInBundle)
				break
			}
		}
	}
}

// meetMinimum gives each model its least number of replicas, the model that
// lacks most first. It takes empty engines, then those of models with more
// than they need.
func (v *view) meetMinimum() {
	models := slices.Clone(v.in.Models)
	slices.SortStableFunc(models, func(a, b checker.Model) int {
		return cmp.Compare(v.ready(a)-a.MinReplicas, v.ready(b)-b.MinReplicas)
	})
	for _, m := range models {
		for v.ready(m)+v.coming(m) < m.MinReplicas && v.mayLoad() {
			i := v.donor(m)
			if i < 0 {
				break
			}
			v.load(i, m, v.engines[i].Ready, BelowMinReplicas)
		}
	}
}

// donor returns an engine that may take m in place of what it has, or -1.
func (v *view) donor(m checker.Model) int {
	best := -1
	for i, e := range v.engines {
		if !e.allows(m.Name) || e.holds(m.Name) || v.busy(e) {
			continue
		}
		if e.empty() {
			return i
		}
		if best < 0 && !v.dwells(e) && v.spare(i, true) {
			best = i
		}
	}
	return best
}

// load orders the wanted version of m.
func (v *view) load(i int, m checker.Model, replace []Loaded, reason Reason) {
	v.order(i, LoadModel, Loaded{m.Name, m.WeightsVersion}, replace, reason)
}

// rollOut replaces other versions of a model, as long as another engine serves
// it meanwhile. An engine that serves nothing that may be served goes first.
func (v *view) rollOut() {
	for _, m := range v.in.Models {
		for _, useless := range []bool{true, false} {
			for i, e := range v.engines {
				if e.serves(m.Name, Versions(m)) == useless || !v.mayLoad() {
					continue
				}
				v.rollOutOne(i, m)
			}
		}
		v.relieveLast(m)
	}
}

// relieveLast starts a roll-out that waits for a second replica: where a
// single engine serves m in another version, one that another model can do
// without loads the wanted version.
func (v *view) relieveLast(m checker.Model) {
	if v.ready(m) != 1 || v.coming(m) > 0 || v.current(m) > 0 || !v.mayLoad() {
		return
	}
	if i := v.donor(m); i >= 0 {
		v.load(i, m, v.engines[i].Ready, NewWeightsVersion)
	}
}

func (v *view) rollOutOne(i int, m checker.Model) {
	e := v.engines[i]
	old := slices.IndexFunc(e.Ready, func(l Loaded) bool {
		return l.Model == m.Name && l.WeightsVersion != m.WeightsVersion
	})
	current := slices.Contains(e.Ready, Loaded{m.Name, m.WeightsVersion})
	if old < 0 || current || v.busy(e) || !e.allows(m.Name) {
		return
	}
	if !v.in.Interrupt && !v.spare(i, false) {
		return
	}
	v.load(i, m, []Loaded{e.Ready[old]}, NewWeightsVersion)
}

// fillEmpty gives empty engines the model with the highest load per replica.
func (v *view) fillEmpty() {
	for i, e := range v.engines {
		if !e.empty() || v.busy(e) || !v.mayLoad() {
			continue
		}
		if m, ok := v.hottest(e); ok {
			v.load(i, m, nil, EmptyEngine)
		}
	}
}

// hottest returns the model that e may serve with the highest load per replica.
func (v *view) hottest(e Engine) (checker.Model, bool) {
	var best checker.Model
	found := false
	for _, m := range v.in.Models {
		if e.allows(m.Name) && (!found || v.pressure(m) > v.pressure(best)) {
			best, found = m, true
		}
	}
	return best, found
}

// pressure is the load per replica of m, the ones that are coming included.
func (v *view) pressure(m checker.Model) float64 {
	load := 0
	for _, e := range v.engines {
		if e.serves(m.Name, Versions(m)) {
			load += e.Load
		}
	}
	return float64(load+1) / float64(v.ready(m)+v.coming(m)+1)
}

// relieveHot moves one engine to a model that has long had a much higher load
// per replica than the model that gives it up.
func (v *view) relieveHot() {
	from, to := v.imbalance()
	if to.Name == "" {
		v.planner.hot = ""
		return
	}
	if v.planner.hot != to.Name {
		v.planner.hot, v.planner.hotAt = to.Name, v.now.Add(v.in.Policy.MinDwell.Std())
	}
	if v.now.Before(v.planner.hotAt) || !v.mayLoad() {
		return
	}
	for i, e := range v.engines {
		moves := e.serves(from.Name, Versions(from)) && e.allows(to.Name) && !e.holds(to.Name)
		if moves && !v.busy(e) && !v.dwells(e) && v.spare(i, true) {
			v.load(i, to, e.Ready, HotModel)
			v.planner.hot = ""
			return
		}
	}
}

// imbalance returns the coldest and the hottest model where they differ by
// more than the factor, and no models otherwise.
func (v *view) imbalance() (from, to checker.Model) {
	if len(v.in.Models) == 0 {
		return from, to
	}
	byPressure := func(a, b checker.Model) int { return cmp.Compare(v.pressure(a), v.pressure(b)) }
	cold, hot := slices.MinFunc(v.in.Models, byPressure), slices.MaxFunc(v.in.Models, byPressure)
	if v.pressure(hot) <= hotFactor*v.pressure(cold) {
		return from, to
	}
	return cold, hot
}
