package soaker

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Bounds are the promises of the settings that a check needs.
type Bounds struct {
	// ConfigurationApply is the time within which a published configuration is in
	// force.
	ConfigurationApply time.Duration
	// RetryRatio, RetryExtra and RetryWindow are the retry budget of a service.
	RetryRatio  float64
	RetryExtra  int
	RetryWindow time.Duration
	// Stable is the time after a disruption in which its effects are excused.
	Stable time.Duration
	// Recover is the time from which calls succeed again, counted from when all
	// gateways were ready after the last step.
	Recover time.Duration
	// Drain is the time after a response that states that its upstream is leaving from
	// which its gateway passes no new calls on to it.
	Drain time.Duration
	// Quotas are the quotas of organisations by name. Others have none.
	Quotas map[string]Quota
	// MemoryMiB is the memory limit of a gateway.
	MemoryMiB int
}

const (
	// lossSlack is the time for which a gateway may have read a call that it does
	// not pass on, because it closes the connection.
	lossSlack = 250 * time.Millisecond
	// rollbackSlack is the time for which calls that cross a change are excused.
	rollbackSlack = 250 * time.Millisecond
	// cancelSlack is the time after which a call whose caller has closed the
	// connection does not reach an upstream any more.
	cancelSlack = 500 * time.Millisecond
	// minRecovered is the share of calls that must succeed after recovery.
	minRecovered = 0.9
)

// checker finds broken promises in a record.
type checker struct {
	Record
	bounds  Bounds
	byID    map[string]*Call
	runsOf  map[string][]Run
	reached map[string][]Arrival
	found   []Violation
}

// Check returns the promises that a record shows to be broken.
func Check(r Record, b Bounds) []Violation {
	c := &checker{
		Record: r, bounds: b, byID: make(map[string]*Call),
		runsOf: make(map[string][]Run), reached: make(map[string][]Arrival),
	}
	for i := range r.Calls {
		c.byID[r.Calls[i].ID] = &r.Calls[i]
	}
	for _, run := range r.Runs {
		c.runsOf[run.ID] = append(c.runsOf[run.ID], run)
	}
	for _, a := range r.Arrivals {
		c.reached[a.ID] = append(c.reached[a.ID], a)
	}
	for i := range r.Calls {
		c.checkRuns(&r.Calls[i])
		c.checkAnswer(&r.Calls[i])
		c.checkLoss(&r.Calls[i])
		c.checkCancelled(&r.Calls[i])
		c.checkKey(&r.Calls[i])
	}
	c.checkUnasked()
	c.checkLeaving()
	c.checkCrashing()
	c.checkLimits()
	c.checkQuotas()
	c.checkRollback()
	c.checkOrders()
	c.checkBudget()
	c.checkRecovery()
	return c.found
}

func (c *checker) violate(p Promise, subject, format string, args ...any) {
	c.found = append(c.found, Violation{Promise: p, Subject: subject, Detail: fmt.Sprintf(format, args...)})
}

// checkRuns checks how often a call was run.
func (c *checker) checkRuns(call *Call) {
	n := len(c.runsOf[call.ID])
	if n > 1 && !call.Repeatable {
		c.violate(AtMostOnce, call.ID, "run %d times: %v", n, c.runsOf[call.ID])
	}
	if n > 0 && call.Outcome == Refused && !call.Repeatable {
		c.violate(TrueRefusal, call.ID, "answered %d and run at %s", call.Status, c.runsOf[call.ID][0].Upstream)
	}
}

// checkAnswer checks that a response is that of an upstream to the call.
func (c *checker) checkAnswer(call *Call) {
	if call.Disordered != "" {
		c.violate(WholeStream, call.ID, "%s", call.Disordered)
	}
	if call.Mixed != "" {
		c.violate(OwnAnswer, call.ID, "%s", call.Mixed)
	}
	ran := slices.ContainsFunc(c.runsOf[call.ID], func(r Run) bool { return r.Upstream == call.Upstream })
	if call.Outcome == Answered && !ran {
		c.violate(OwnAnswer, call.ID, "answered by %q, which has not run it", call.Upstream)
	}
}

// checkLoss checks that a call that its gateway has accepted got a response, unless
// its gateway or an upstream was disturbed, or upstreams broke its stream.
func (c *checker) checkLoss(call *Call) {
	accepted := len(c.reached[call.ID]) > 0 || call.EndedAt.Sub(call.SentAt) > lossSlack
	if call.Outcome != Broken || call.SentAt.IsZero() || !accepted {
		return
	}
	if slices.Contains(c.Broken, call.ID) {
		return
	}
	if !c.crashedUnder(call) && !c.happened(c.onPathOf(call), call.BeganAt.Add(-c.bounds.Stable), call.EndedAt) {
		c.violate(NothingLost, call.ID, "%s at %s: connection ended %s after the call was sent: %s",
			call.Route, call.Gateway, call.EndedAt.Sub(call.SentAt).Round(time.Millisecond), call.Error)
	}
}

// onPathOf returns whether a step disturbs the path from the caller of a call to the
// upstreams that it reached, or any if it reached none.
func (c *checker) onPathOf(call *Call) func(Step) bool {
	arrivals := c.reached[call.ID]
	reached := func(target string) bool {
		return len(arrivals) == 0 || slices.ContainsFunc(arrivals, func(a Arrival) bool { return a.Place == target })
	}
	return func(s Step) bool {
		switch s.Kind {
		case Kill, Freeze:
			return s.Target == call.Gateway
		case Spoil:
			return reached(s.Target)
		case Disturb:
			return s.Target == call.Gateway+"/"+frontTarget || !strings.Contains(s.Target, "/") && reached(s.Target)
		default:
			return false
		}
	}
}

// checkCancelled checks that a call does not reach an upstream after its caller has
// closed the connection.
func (c *checker) checkCancelled(call *Call) {
	if call.Outcome != GivenUp {
		return
	}
	for _, a := range c.reached[call.ID] {
		late := a.At.After(call.EndedAt.Add(cancelSlack))
		if late && !c.happened(c.onPathOf(call), call.BeganAt.Add(-c.bounds.Stable), a.At) {
			c.violate(Cancelled, call.ID, "reached %s %s after its caller had closed the connection", a.Service,
				a.At.Sub(call.EndedAt).Round(time.Millisecond))
		}
	}
}

// happened reports whether a step that matches was under way between two times.
func (c *checker) happened(matches func(Step) bool, from, to time.Time) bool {
	return slices.ContainsFunc(c.Spans, func(s Span) bool {
		return matches(s.Step) && s.BeginAt.Before(to) && (s.EndAt.IsZero() || s.EndAt.After(from))
	})
}

// checkKey checks that a revoked key is refused and others are not.
func (c *checker) checkKey(call *Call) {
	revokedAt := c.revokedAt(call.Key)
	if call.Outcome == Denied && (revokedAt.IsZero() || call.EndedAt.Before(revokedAt)) {
		c.violate(KeyAllowed, call.ID, "answered %d at %s with a valid key", call.Status, call.Gateway)
	}
	served := call.Outcome == Answered || len(c.runsOf[call.ID]) > 0
	if !served || revokedAt.IsZero() || !call.BeganAt.After(revokedAt.Add(c.bounds.ConfigurationApply)) {
		return
	}
	if !c.happened(outOfTouch(call.Gateway), call.BeganAt.Add(-c.bounds.ConfigurationApply-c.bounds.Stable), call.BeganAt) {
		c.violate(KeyRevoked, call.ID, "served at %s %s after its key was revoked", call.Gateway,
			call.BeganAt.Sub(revokedAt).Round(time.Millisecond))
	}
}

// outOfTouch returns whether a step keeps a gateway from the store.
func outOfTouch(gateway string) func(Step) bool {
	return func(s Step) bool {
		switch s.Kind {
		case Store:
			return true
		case Kill, Freeze, Stop:
			return s.Target == gateway
		case Disturb:
			return s.Target == gateway+"/"+storeTarget
		default:
			return false
		}
	}
}

// revokedAt returns when a key was revoked, zero if it was not.
func (c *checker) revokedAt(key string) time.Time {
	for _, s := range c.Spans {
		if s.Step.Kind == Configure && s.Step.Detail == key {
			return s.EndAt
		}
	}
	return time.Time{}
}

// checkRollback checks that a process that has refused a key does not serve it
// afterwards.
func (c *checker) checkRollback() {
	type process struct {
		gateway string
		number  int
		key     string
	}
	refusedAt := make(map[process]time.Time)
	for i := range c.Calls {
		call := &c.Calls[i]
		p := process{call.Gateway, call.Process, call.Key}
		if at, ok := refusedAt[p]; call.Outcome == Denied && (!ok || call.EndedAt.Before(at)) {
			refusedAt[p] = call.EndedAt
		}
	}
	for i := range c.Calls {
		call := &c.Calls[i]
		at, ok := refusedAt[process{call.Gateway, call.Process, call.Key}]
		if ok && call.Outcome == Answered && call.BeganAt.After(at.Add(rollbackSlack)) {
			c.violate(KeyRevoked, call.ID, "served at %s after it had refused the key", call.Gateway)
		}
	}
}

// checkUnasked checks that upstreams ran only what callers sent.
func (c *checker) checkUnasked() {
	for _, r := range c.Runs {
		call := c.byID[r.ID]
		if call == nil || r.Altered || r.Organisation != call.Organisation {
			c.violate(Unaltered, r.ID, "run at %s is not what a caller sent", r.Upstream)
		}
	}
}
