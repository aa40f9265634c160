package soaker

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"gentianstep.example/gentianstep/internal/testing/windower"
)

// limitSpan is a time in which a process of an upstream stated a limit.
type limitSpan struct {
	place     string
	perSecond float64
	begin     time.Time
	end       time.Time
}

// checkLimits checks that upstreams get no more calls from gateways that have passed a
// statement of its limit on than that limit allows, from the stable time after the first one
// on. Restarts, freezes and disturbed links of a gateway excuse it.
func (c *checker) checkLimits() {
	arrivals := make(map[string][]Arrival)
	for _, a := range c.Arrivals {
		if a.Process != "" {
			arrivals[a.Place] = append(arrivals[a.Place], a)
		}
	}
	for _, s := range c.Spans {
		if s.Step.Kind != Limit || s.EndAt.IsZero() {
			continue
		}
		perSecond, err := strconv.ParseFloat(s.Step.Detail, 64)
		if err == nil {
			c.checkLimit(limitSpan{s.Step.Target, perSecond, s.BeginAt, s.EndAt}, arrivals[s.Step.Target])
		}
	}
}

func (c *checker) checkLimit(s limitSpan, arrivals []Arrival) {
	byProcess := make(map[string][]Arrival)
	for _, a := range arrivals {
		if a.At.After(s.begin) && a.At.Before(s.end) {
			byProcess[a.Process] = append(byProcess[a.Process], a)
		}
	}
	allowed := windower.Allowed(s.perSecond)
	for process, list := range byProcess {
		told, first := c.toldTimes(s, process)
		list = slices.DeleteFunc(list, func(a Arrival) bool { return !c.countsForLimit(a, told) })
		slices.SortFunc(list, func(a, b Arrival) int { return a.At.Compare(b.At) })
		var window windower.Window
		for _, a := range list {
			if n := window.Add(a.At); float64(n) > allowed && a.At.After(first.Add(c.bounds.Stable)) {
				c.violate(WithinLimit, process, "at %s with a limit of %v a second got %d calls in %s, allowed %.1f", s.place, s.perSecond, n, windower.Length, allowed)
				break
			}
		}
	}
}

// gatewayProcess is a process of a gateway.
type gatewayProcess struct {
	gateway string
	number  int
}

// toldTimes returns when each process of a gateway has first passed on a limit of a process
// of an upstream in a span, and when the first of them has.
func (c *checker) toldTimes(s limitSpan, process string) (told map[gatewayProcess]time.Time, first time.Time) {
	told = make(map[gatewayProcess]time.Time)
	for i := range c.Calls {
		call := &c.Calls[i]
		reached := func(a Arrival) bool { return a.Process == process && a.Upstream == call.Upstream }
		if call.Limit == "" || call.EndedAt.Before(s.begin) || !slices.ContainsFunc(c.reached[call.ID], reached) {
			continue
		}
		key := gatewayProcess{call.Gateway, call.Process}
		if at, ok := told[key]; !ok || call.EndedAt.Before(at) {
			told[key] = call.EndedAt
		}
		if first.IsZero() || call.EndedAt.Before(first) {
			first = call.EndedAt
		}
	}
	return told, first
}

// countsForLimit reports whether an arrival is from a gateway that has passed the limit on
// and is not excused.
func (c *checker) countsForLimit(a Arrival, told map[gatewayProcess]time.Time) bool {
	call := c.byID[a.ID]
	if call == nil {
		return false
	}
	at, ok := told[gatewayProcess{call.Gateway, call.Process}]
	if !ok || a.At.Before(at.Add(windower.CountsAfter)) {
		return false
	}
	excused := func(s Step) bool {
		switch s.Kind {
		case Kill, Freeze, Stop:
			return s.Target == call.Gateway
		case Disturb:
			return strings.HasPrefix(s.Target, call.Gateway+"/") || s.Target == a.Place
		default:
			return false
		}
	}
	return !c.happened(excused, a.At.Add(-c.bounds.Stable), a.At)
}
