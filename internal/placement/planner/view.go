package planner

import (
	"slices"
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
)

// view is the projected state of the region, in which all pending orders have
// taken effect.
type view struct {
	now     time.Time
	in      Input
	planner *Planner
	// engines excludes engines that are leaving or whose observation is stale.
	engines []Engine
	// activeLoads is the number of loads in progress, including those of engines
	// that are not in engines.
	activeLoads int
	orders      []Order
}

func newView(now time.Time, in Input, p *Planner) *view {
	v := &view{now: now, in: in, planner: p}
	for _, e := range sortedByLoad(in.Engines) {
		sent, waiting := p.pending[e.Upstream]
		if len(e.Loading) > 0 || waiting && sent.order.Action == LoadModel {
			v.activeLoads++
		}
		if waiting {
			e = applyOrder(e, sent.order)
		}
		if !e.Leaving && now.Before(e.SeenAt.Add(observationTTL)) {
			v.engines = append(v.engines, e)
		}
	}
	for name, sent := range p.pending {
		known := slices.ContainsFunc(in.Engines, func(e Engine) bool { return e.Upstream == name })
		if !known && sent.order.Action == LoadModel {
			v.activeLoads++
		}
	}
	return v
}

// applyOrder returns e as it is while it carries out o.
func applyOrder(e Engine, o Order) Engine {
	unloaded := func(l ModelVersion) bool {
		return l == o.ModelVersion || l.Model == o.Model || slices.Contains(o.Replace, l)
	}
	e.Ready = slices.DeleteFunc(slices.Clone(e.Ready), unloaded)
	if o.Action == LoadModel {
		e.Loading = append(slices.Clone(e.Loading), o.ModelVersion)
	}
	return e
}

// readyReplicas counts the engines that serve m in an allowed version.
func (v *view) readyReplicas(m checker.Model) int {
	n := 0
	for _, e := range v.engines {
		if e.serves(m.Name, AllowedVersions(m)) {
			n++
		}
	}
	return n
}

// updatedReplicas counts the engines that serve the wanted version of m.
func (v *view) updatedReplicas(m checker.Model) int {
	n := 0
	for _, e := range v.engines {
		if e.serves(m.Name, []string{m.WeightsVersion}) {
			n++
		}
	}
	return n
}

// loadingReplicas counts the engines that are loading the wanted version of m.
func (v *view) loadingReplicas(m checker.Model) int {
	n := 0
	for _, e := range v.engines {
		if slices.Contains(e.Loading, ModelVersion{m.Name, m.WeightsVersion}) {
			n++
		}
	}
	return n
}

// canSpare reports whether engine i may stop serving: each model that it serves
// keeps at least one ready replica or, if keepMinimum is set, its minimum
// number of replicas.
func (v *view) canSpare(i int, keepMinimum bool) bool {
	for _, m := range v.in.Models {
		if !v.engines[i].serves(m.Name, AllowedVersions(m)) {
			continue
		}
		minimum := 1
		if keepMinimum {
			minimum = m.MinReplicas
		}
		if v.readyReplicas(m)-1 < max(minimum, 1) {
			return false
		}
	}
	return true
}

// busy reports whether an engine is loading, has a pending order or must not
// receive orders.
func (v *view) busy(e Engine) bool {
	_, waiting := v.planner.pending[e.Upstream]
	return waiting || e.Unschedulable || len(e.Loading) > 0
}

// canLoad reports whether another load may start, given the limits on
// simultaneous loads and on the interval between loads.
func (v *view) canLoad() bool {
	return v.activeLoads < v.in.Policy.MaxLoads && !v.now.Before(v.planner.nextLoadAt)
}

// dwelling reports whether an engine loaded a model within the minimum dwell
// time.
func (v *view) dwelling(e Engine) bool { return v.now.Before(v.planner.dwellUntil[e.Upstream]) }

// issueOrder adds an order for engine i to the plan and records it as pending.
func (v *view) issueOrder(i int, action Action, l ModelVersion, replace []ModelVersion, reason Reason) {
	e := v.engines[i]
	v.planner.lastNumber++
	o := Order{
		Number:       v.planner.lastNumber,
		Upstream:     e.Upstream,
		Incarnation:  e.Incarnation,
		Action:       action,
		ModelVersion: l,
		Replace:      replace,
		Reason:       reason,
	}
	v.orders = append(v.orders, o)
	v.planner.pending[e.Upstream] = pendingOrder{order: o, deadline: v.in.Deadline}
	v.engines[i] = applyOrder(e, o)
	if action != LoadModel {
		return
	}
	v.activeLoads++
	v.planner.nextLoadAt = v.now.Add(v.in.Policy.LoadInterval.Std())
	v.planner.dwellUntil[e.Upstream] = v.now.Add(v.in.Policy.MinDwell.Std())
}
