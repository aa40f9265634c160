package soaker

import "time"

// leavingProcess is a process of an upstream that has stated to a process of a gateway that
// it is leaving.
type leavingProcess struct {
	gateway       string
	gatewayNumber int
	process       string
}

// checkLeaving checks that a process of a gateway passes no call on to a process that was
// sent later than the drain bound after it had passed on a response of that process with the
// statement that it is leaving. A freeze of the gateway excuses it.
func (c *checker) checkLeaving() {
	passedOn := make(map[leavingProcess]time.Time)
	for i := range c.Calls {
		call := &c.Calls[i]
		if !call.Leaving {
			continue
		}
		for _, a := range c.reached[call.ID] {
			if a.Upstream != call.Upstream {
				continue
			}
			key := leavingProcess{call.Gateway, call.Process, a.Process}
			if at, ok := passedOn[key]; !ok || call.EndedAt.Before(at) {
				passedOn[key] = call.EndedAt
			}
		}
	}
	for _, a := range c.Arrivals {
		call := c.byID[a.ID]
		if call == nil || a.Process == "" {
			continue
		}
		at, ok := passedOn[leavingProcess{call.Gateway, call.Process, a.Process}]
		if !ok || !call.BeganAt.After(at.Add(c.bounds.Drain)) {
			continue
		}
		frozen := func(s Step) bool { return s.Target == call.Gateway && s.Kind == Freeze }
		if !c.happened(frozen, at, a.At) {
			c.violate(LeftAlone, call.ID, "reached %s %s after %s had passed on that it is leaving", a.Process, a.At.Sub(at).Round(time.Millisecond), call.Gateway)
		}
	}
}
