package planner

import (
	"slices"
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
)

// view is the region as it will be once the orders given so far take effect.
type view struct {
	now     time.Time
	in      Input
	planner *Planner
	// engines can take orders; counting all of them, silent ones too, is
	// loads.
	engines []Engine
	loads   int
	orders  []Order
}

func newView(now time.Time, in Input, p *Planner) *view {
	v := &view{now: now, in: in, planner: p}
	for _, e := range sorted(in.Engines) {
		sent, waiting := p.pending[e.Upstream]
		if len(e.Loading) > 0 || waiting && sent.order.Action == LoadModel {
			v.loads++
		}
		if waiting {
			e = applied(e, sent.order)
		}
		if !e.Leaving && now.Before(e.SeenAt.Add(freshFor)) {
			v.engines = append(v.engines, e)
		}
	}
	for name, sent := range p.pending {
		known := slices.ContainsFunc(in.Engines, func(e Engine) bool { return e.Upstream == name })
		if !known && sent.order.Action == LoadModel {
			v.loads++
		}
	}
	return v
}

// applied returns e as it is while o takes effect.
func applied(e Engine, o Order) Engine {
	gone := func(l Loaded) bool {
		return l == o.Loaded || l.Model == o.Model || slices.Contains(o.Replace, l)
	}
	e.Ready = slices.DeleteFunc(slices.Clone(e.Ready), gone)
	if o.Action == LoadModel {
		e.Loading = append(slices.Clone(e.Loading), o.Loaded)
	}
	return e
}

// ready counts the engines that serve m in a version that may be served.
func (v *view) ready(m checker.Model) int {
	n := 0
	for _, e := range v.engines {
		if e.serves(m.Name, Versions(m)) {
			n++
		}
	}
	return n
}

// current counts the engines that serve the wanted version of m.
func (v *view) current(m checker.Model) int {
	n := 0
	for _, e := range v.engines {
		if e.serves(m.Name, []string{m.WeightsVersion}) {
			n++
		}
	}
	return n
}

// coming counts the engines that load the wanted version of m.
func (v *view) coming(m checker.Model) int {
	n := 0
	for _, e := range v.engines {
		if slices.Contains(e.Loading, Loaded{m.Name, m.WeightsVersion}) {
			n++
		}
	}
	return n
}

// spare reports whether engine i may stop serving without the loss of the last
// ready replica, or of one that the minimum needs, of any model.
func (v *view) spare(i int, keepMinimum bool) bool {
	for _, m := range v.in.Models {
		if !v.engines[i].serves(m.Name, Versions(m)) {
			continue
		}
		least := 1
		if keepMinimum {
			least = m.MinReplicas
		}
		if v.ready(m)-1 < max(least, 1) {
			return false
		}
	}
	return true
}

// busy reports whether an engine is loading, has an order on the way or takes
// none for now.
func (v *view) busy(e Engine) bool {
	_, waiting := v.planner.pending[e.Upstream]
	return waiting || e.Frozen || len(e.Loading) > 0
}

// mayLoad reports whether the region and its weight store have room for a load.
func (v *view) mayLoad() bool {
	return v.loads < v.in.Policy.MaxLoads && !v.now.Before(v.planner.nextLoad)
}

// dwells reports whether an engine was moved a short while ago.
func (v *view) dwells(e Engine) bool { return v.now.Before(v.planner.dwell[e.Upstream]) }

// order gives engine i an order and counts it as sent.
func (v *view) order(i int, action Action, l Loaded, replace []Loaded, reason Reason) {
	e := v.engines[i]
	v.planner.numbered++
	o := Order{
		Number:      v.planner.numbered,
		Upstream:    e.Upstream,
		Incarnation: e.Incarnation,
		Action:      action,
		Loaded:      l,
		Replace:     replace,
		Reason:      reason,
	}
	v.orders = append(v.orders, o)
	v.planner.pending[e.Upstream] = pending{order: o, deadline: v.in.Deadline}
	v.engines[i] = applied(e, o)
	if action != LoadModel {
		return
	}
	v.loads++
	v.planner.nextLoad = v.now.Add(v.in.Policy.LoadInterval.Std())
	v.planner.dwell[e.Upstream] = v.now.Add(v.in.Policy.MinDwell.Std())
}
