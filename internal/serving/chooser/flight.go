package chooser

import (
	"errors"
	"net/http"
	"time"

	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/routing/estimator"
	"gentianstep.example/gentianstep/internal/routing/retrier"
	"gentianstep.example/gentianstep/internal/serving/dispatcher"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// attemptKey identifies an attempt of a request.
type attemptKey struct {
	request string
	attempt int
}

// attemptState is the state of an attempt in flight.
type attemptState struct {
	model       string
	checkpoints []hasher.Hash
	wait        time.Duration
	ticket      estimator.Ticket
	sentAt      time.Time
	// hasFirstToken is true once the first token of the answer has arrived.
	hasFirstToken bool
	// prefillBlocks is the number of blocks that the upstream is expected to
	// compute.
	prefillBlocks int
	// export is the prefix that the upstream was asked to export, nil if none. It
	// is recorded as importable when the first token arrives.
	export *export
}

func attemptKeyOf(choice dispatcher.Choice) attemptKey {
	return attemptKey{request: choice.RequestID, attempt: choice.Attempt}
}

// Sent implements dispatcher.Chooser.
func (c *Chooser) Sent(now time.Time, choice dispatcher.Choice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := choice.Target.Name
	f := c.inFlight[attemptKeyOf(choice)]
	f.sentAt = now
	f.ticket = c.loads.RecordSent(now, estimator.SentRequest{Upstream: name, Blocks: f.prefillBlocks, ExpectedWait: f.wait})
	c.inFlight[attemptKeyOf(choice)] = f
	c.health.BeginAttempt(now, name, c.health.Health(now, name))
	if len(f.checkpoints) > 0 {
		c.recent.RecordRequest(now, name, f.model, c.reports[name].Incarnation, f.checkpoints)
	}
}

// FirstToken implements dispatcher.Chooser.
func (c *Chooser) FirstToken(now time.Time, choice dispatcher.Choice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.inFlight[attemptKeyOf(choice)]
	c.loads.RecordFirstToken(now, f.ticket, sampleBlocks(choice))
	if f.export != nil {
		c.exports.record(now, *f.export)
	}
	c.recordOutcome(now, choice, f, retrier.Succeeded)
	f.hasFirstToken = true
	c.inFlight[attemptKeyOf(choice)] = f
}

// Finished implements dispatcher.Chooser.
func (c *Chooser) Finished(now time.Time, choice dispatcher.Choice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.endAttempt(now, choice)
	if !f.hasFirstToken {
		c.recordOutcome(now, choice, f, retrier.Succeeded)
	}
}

// Failed implements dispatcher.Chooser.
func (c *Chooser) Failed(now time.Time, choice dispatcher.Choice, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.endAttempt(now, choice)
	c.recent.RecordFailure(choice.Target.Name)
	c.recordOutcome(now, choice, f, resultOf(err))
	var failure *caller.Failure
	if c.cfg.Departures != nil && errors.As(err, &failure) && failure.Leaving {
		c.cfg.Departures.HandleLeavingRefusal(now, choice.Target.Name)
	}
}

// Abandoned implements dispatcher.Chooser.
func (c *Chooser) Abandoned(now time.Time, choice dispatcher.Choice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordOutcome(now, choice, c.endAttempt(now, choice), retrier.Unrelated)
	c.abandoned.Add(choice.RequestID, struct{}{})
}

// endAttempt removes the state of an attempt, ends it in the load estimate and
// returns it.
func (c *Chooser) endAttempt(now time.Time, choice dispatcher.Choice) attemptState {
	f := c.inFlight[attemptKeyOf(choice)]
	delete(c.inFlight, attemptKeyOf(choice))
	c.loads.EndRequest(now, f.ticket)
	return f
}

// recordOutcome records the result of an attempt for the health of its upstream.
func (c *Chooser) recordOutcome(now time.Time, choice dispatcher.Choice, f attemptState, result retrier.Result) {
	c.health.RecordOutcome(now, choice.Target.Name, retrier.Outcome{Result: result, SentAt: f.sentAt})
}

// resultOf returns the effect of a failed attempt on the health of its upstream.
func resultOf(err error) retrier.Result {
	var failure *caller.Failure
	if !errors.As(err, &failure) {
		return retrier.Unrelated
	}
	switch failure.Status {
	case http.StatusUnauthorized, http.StatusForbidden:
		return retrier.Unauthorised
	case http.StatusConflict, http.StatusServiceUnavailable, http.StatusTooManyRequests:
		// A refusal does not affect the health: it shows that the upstream is
		// reachable.
		return retrier.Unrelated
	}
	return retrier.Failed
}

// sampleBlocks returns the number of blocks that the upstream had to compute
// before the first token. It is 0 after an import, because the time of an import is not a
// sample of the prefill time.
func sampleBlocks(choice dispatcher.Choice) int {
	if choice.ImportBlocks > 0 {
		return 0
	}
	return choice.MissingBlocks
}
