package planner

import (
	"cmp"
	"slices"

	"gentianstep.example/gentianstep/internal/bundle/checker"
)

// unloadDisallowed unloads models that the bundle does not allow on their
// engine.
func (v *view) unloadDisallowed() {
	for i, e := range v.engines {
		if v.busy(e) {
			continue
		}
		for _, l := range e.Ready {
			if !e.allows(l.Model) {
				v.issueOrder(i, UnloadModel, l, nil, NotInBundle)
				break
			}
		}
	}
}

// meetMinReplicas loads models that have fewer replicas than their minimum,
// starting with the model that lacks the most. It uses empty engines first,
// then engines of models that have more replicas than their minimum.
func (v *view) meetMinReplicas() {
	models := slices.Clone(v.in.Models)
	slices.SortStableFunc(models, func(a, b checker.Model) int {
		return cmp.Compare(v.readyReplicas(a)-a.MinReplicas, v.readyReplicas(b)-b.MinReplicas)
	})
	for _, m := range models {
		for v.readyReplicas(m)+v.loadingReplicas(m) < m.MinReplicas && v.canLoad() {
			i := v.findDonor(m)
			if i < 0 {
				break
			}
			v.orderLoad(i, m, v.engines[i].Ready, BelowMinReplicas)
		}
	}
}

// findDonor returns the index of an engine that may load m in place of its
// current models, or -1.
func (v *view) findDonor(m checker.Model) int {
	best := -1
	for i, e := range v.engines {
		if !e.allows(m.Name) || e.hasOrLoads(m.Name) || v.busy(e) {
			continue
		}
		if e.empty() {
			return i
		}
		if best < 0 && !v.dwelling(e) && v.canSpare(i, true) {
			best = i
		}
	}
	return best
}

// orderLoad issues an order to load the wanted version of m on engine i.
func (v *view) orderLoad(i int, m checker.Model, replace []ModelVersion, reason Reason) {
	v.issueOrder(i, LoadModel, ModelVersion{m.Name, m.WeightsVersion}, replace, reason)
}

// rollOut replaces outdated versions of each model while another engine keeps
// serving it. Engines without a servable version of the model go first.
func (v *view) rollOut() {
	for _, m := range v.in.Models {
		for _, notServing := range []bool{true, false} {
			for i, e := range v.engines {
				if e.serves(m.Name, AllowedVersions(m)) == notServing || !v.canLoad() {
					continue
				}
				v.rollOutOn(i, m)
			}
		}
		v.addSurgeReplica(m)
	}
}

// addSurgeReplica unblocks a roll-out that would otherwise wait for a second
// replica. If a single engine serves m, in an outdated version, it loads the
// wanted version on an engine that another model can spare.
func (v *view) addSurgeReplica(m checker.Model) {
	if v.readyReplicas(m) != 1 || v.loadingReplicas(m) > 0 || v.updatedReplicas(m) > 0 || !v.canLoad() {
		return
	}
	if i := v.findDonor(m); i >= 0 {
		v.orderLoad(i, m, v.engines[i].Ready, NewWeightsVersion)
	}
}

// rollOutOn orders engine i to replace its outdated version of m, if that is
// permitted now.
func (v *view) rollOutOn(i int, m checker.Model) {
	e := v.engines[i]
	old := slices.IndexFunc(e.Ready, func(l ModelVersion) bool {
		return l.Model == m.Name && l.WeightsVersion != m.WeightsVersion
	})
	current := slices.Contains(e.Ready, ModelVersion{m.Name, m.WeightsVersion})
	if old < 0 || current || v.busy(e) || !e.allows(m.Name) {
		return
	}
	if !v.in.AllowDowntime && !v.canSpare(i, false) {
		return
	}
	v.orderLoad(i, m, []ModelVersion{e.Ready[old]}, NewWeightsVersion)
}

// fillEmptyEngines loads, on each empty engine, the model with the most
// requests per replica.
func (v *view) fillEmptyEngines() {
	for i, e := range v.engines {
		if !e.empty() || v.busy(e) || !v.canLoad() {
			continue
		}
		if m, ok := v.hottestModel(e); ok {
			v.orderLoad(i, m, nil, EmptyEngine)
		}
	}
}

// hottestModel returns the model with the most requests per replica among those
// that e may serve.
func (v *view) hottestModel(e Engine) (checker.Model, bool) {
	var best checker.Model
	found := false
	for _, m := range v.in.Models {
		if e.allows(m.Name) && (!found || v.loadPerReplica(m) > v.loadPerReplica(best)) {
			best, found = m, true
		}
	}
	return best, found
}

// loadPerReplica returns the requests per replica of m. Replicas that are being
// loaded count.
func (v *view) loadPerReplica(m checker.Model) float64 {
	load := 0
	for _, e := range v.engines {
		if e.serves(m.Name, AllowedVersions(m)) {
			load += e.Load
		}
	}
	return float64(load+1) / float64(v.readyReplicas(m)+v.loadingReplicas(m)+1)
}

// rebalance moves one engine from the least to the most loaded model once the
// imbalance has lasted for the minimum dwell time.
func (v *view) rebalance() {
	from, to := v.findImbalance()
	if to.Name == "" {
		v.planner.hotModel = ""
		return
	}
	if v.planner.hotModel != to.Name {
		v.planner.hotModel, v.planner.hotMoveAt = to.Name, v.now.Add(v.in.Policy.MinDwell.Std())
	}
	if v.now.Before(v.planner.hotMoveAt) || !v.canLoad() {
		return
	}
	for i, e := range v.engines {
		moves := e.serves(from.Name, AllowedVersions(from)) && e.allows(to.Name) && !e.hasOrLoads(to.Name)
		if moves && !v.busy(e) && !v.dwelling(e) && v.canSpare(i, true) {
			v.orderLoad(i, to, e.Ready, HotModel)
			v.planner.hotModel = ""
			return
		}
	}
}

// findImbalance returns the models with the fewest and the most requests per
// replica if their ratio exceeds hotLoadRatio, and two zero models otherwise.
func (v *view) findImbalance() (from, to checker.Model) {
	if len(v.in.Models) == 0 {
		return from, to
	}
	byLoadPerReplica := func(a, b checker.Model) int { return cmp.Compare(v.loadPerReplica(a), v.loadPerReplica(b)) }
	cold, hot := slices.MinFunc(v.in.Models, byLoadPerReplica), slices.MaxFunc(v.in.Models, byLoadPerReplica)
	if v.loadPerReplica(hot) <= hotLoadRatio*v.loadPerReplica(cold) {
		return from, to
	}
	return cold, hot
}
