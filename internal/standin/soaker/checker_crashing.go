package soaker

import (
	"slices"
	"time"
)

const (
	// freeCrashes is the number of crashes after which calls with the part that causes them
	// are kept from engines, maxCrashingCalls how many may still reach one.
	freeCrashes      = 5
	maxCrashingCalls = 3
)

// EngineCrash is the end of an engine's process under a call.
type EngineCrash struct {
	Place string    `json:"place"`
	At    time.Time `json:"at"`
	// Stream is the call whose stream the crash breaks, empty if the part of a prompt
	// causes the crash.
	Stream string `json:"stream,omitempty"`
}

// crashedUnder reports whether an engine that a call has reached crashed before the end of
// the call.
func (c *checker) crashedUnder(call *Call) bool {
	return slices.ContainsFunc(c.Crashes, func(crash EngineCrash) bool {
		return !crash.At.After(call.EndedAt) && slices.ContainsFunc(c.reached[call.ID], func(a Arrival) bool {
			return a.Place == crash.Place && !a.At.After(crash.At)
		})
	})
}

// checkCrashing checks that gateways pass on no more than a few calls with the part that
// crashes engines, from the stable time after the fifth crash on.
func (c *checker) checkCrashing() {
	crashes := slices.DeleteFunc(slices.Clone(c.Crashes), func(crash EngineCrash) bool { return crash.Stream != "" })
	if len(crashes) < freeCrashes {
		return
	}
	slices.SortFunc(crashes, func(a, b EngineCrash) int { return a.At.Compare(b.At) })
	boundAt := crashes[freeCrashes-1].At.Add(c.bounds.Stable)
	late := 0
	for _, a := range c.Arrivals {
		call := c.byID[a.ID]
		if call == nil || call.Part == "" || !call.BeganAt.After(boundAt) || a.Upstream == "" {
			continue
		}
		if !c.happened(outOfTouch(call.Gateway), a.At.Add(-c.bounds.Stable), a.At) {
			late++
		}
	}
	if late > maxCrashingCalls {
		c.violate(Quarantine, "engines", "%d calls with the part that crashes engines reached one from %s after the fifth of %d crashes", late, c.bounds.Stable, len(crashes))
	}
}
