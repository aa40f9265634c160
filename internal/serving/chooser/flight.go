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

// attemptKey names one attempt at one request.
type attemptKey struct {
	request string
	attempt int
}

// flight is one attempt on its way.
type flight struct {
	model       string
	checkpoints []hasher.Hash
	wait        time.Duration
	ticket      estimator.Ticket
	sentAt      time.Time
	answered    bool
	// computed is the number of blocks that the upstream is believed to compute.
	computed int
	// export is what becomes importable once the attempt has its first token.
	export *export
}

func keyOf(choice dispatcher.Choice) attemptKey {
	return attemptKey{request: choice.RequestID, attempt: choice.Attempt}
}

// Sent implements dispatcher.Chooser.
func (c *Chooser) Sent(now time.Time, choice dispatcher.Choice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := choice.Target.Name
	f := c.flights[keyOf(choice)]
	f.sentAt = now
	f.ticket = c.loads.Sent(now, estimator.Send{Upstream: name, Blocks: f.computed, Wait: f.wait})
	c.flights[keyOf(choice)] = f
	c.health.Send(now, name, c.health.Health(now, name))
	if len(f.checkpoints) > 0 {
		c.own.Sent(now, name, f.model, c.reports[name].Incarnation, f.checkpoints)
	}
}

// FirstToken implements dispatcher.Chooser.
func (c *Chooser) FirstToken(now time.Time, choice dispatcher.Choice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flights[keyOf(choice)]
	c.loads.FirstToken(now, f.ticket, sampleBlocks(choice))
	if f.export != nil {
		c.kept.add(now, *f.export)
	}
	c.report(now, choice, f, retrier.Succeeded)
	f.answered = true
	c.flights[keyOf(choice)] = f
}

// Finished implements dispatcher.Chooser.
func (c *Chooser) Finished(now time.Time, choice dispatcher.Choice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.end(now, choice)
	if !f.answered {
		c.report(now, choice, f, retrier.Succeeded)
	}
}

// Failed implements dispatcher.Chooser.
func (c *Chooser) Failed(now time.Time, choice dispatcher.Choice, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.end(now, choice)
	c.own.Failed(choice.Target.Name)
	c.report(now, choice, f, resultOf(err))
	var failure *caller.Failure
	if c.cfg.Upstreams != nil && errors.As(err, &failure) && failure.Leaving {
		c.cfg.Upstreams.Refused(now, choice.Target.Name)
	}
}

// Abandoned implements dispatcher.Chooser.
func (c *Chooser) Abandoned(now time.Time, choice dispatcher.Choice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report(now, choice, c.end(now, choice), retrier.Unrelated)
	c.blameless.Add(choice.RequestID, struct{}{})
}

func (c *Chooser) end(now time.Time, choice dispatcher.Choice) flight {
	f := c.flights[keyOf(choice)]
	delete(c.flights, keyOf(choice))
	c.loads.Done(now, f.ticket)
	return f
}

func (c *Chooser) report(now time.Time, choice dispatcher.Choice, f flight, result retrier.Result) {
	c.health.Report(now, choice.Target.Name, retrier.Outcome{Result: result, SentAt: f.sentAt})
}

// resultOf returns what a failed attempt says of the upstream's health.
func resultOf(err error) retrier.Result {
	var failure *caller.Failure
	if !errors.As(err, &failure) {
		return retrier.Unrelated
	}
	switch failure.Status {
	case http.StatusUnauthorized, http.StatusForbidden:
		return retrier.Unauthorised
	case http.StatusConflict, http.StatusServiceUnavailable, http.StatusTooManyRequests:
		// A refusal shows that the upstream answers.
		return retrier.Unrelated
	}
	return retrier.Failed
}

// sampleBlocks returns the number of blocks that the time to the first token
// stands for; 0 after an import, since its time is not that of computing.
func sampleBlocks(choice dispatcher.Choice) int {
	if choice.ImportBlocks > 0 {
		return 0
	}
	return choice.MissingBlocks
}
