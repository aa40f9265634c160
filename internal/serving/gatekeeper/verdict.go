package gatekeeper

import (
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/routing/admitter"
)

// outcomeAdmitted is the outcome of an admission in logs and metrics. The outcome
// of a refusal is its error kind.
const outcomeAdmitted = "admitted"

// applyEffects delivers the decisions of the admitter to the waiting handlers and
// resets the timer.
func (g *Gate) applyEffects(now time.Time, e admitter.Effects) {
	for _, refusal := range e.Refused {
		g.refuse(now, g.requests[refusal.ID], refusal.Err)
	}
	for _, id := range e.Admitted {
		g.admit(now, g.requests[id])
	}
	g.scheduleExpiry(now)
}

func (g *Gate) admit(now time.Time, t *trackedRequest) {
	g.recordOutcome(now, t, outcomeAdmitted)
	t.decision <- nil
}

func (g *Gate) refuse(now time.Time, t *trackedRequest, err *classifier.Error) {
	delete(g.requests, t.key)
	g.recordOutcome(now, t, string(err.Kind))
	t.decision <- err
}

// recordOutcome counts and logs the outcome of a request.
func (g *Gate) recordOutcome(now time.Time, t *trackedRequest, outcome string) {
	wait := now.Sub(t.arrivedAt)
	g.metrics.recordOutcome(outcome, wait)
	g.log.WithFields(logrus.Fields{
		"event":        "admission",
		"request_id":   t.id,
		"organisation": t.organisation,
		"priority":     t.priority,
		"outcome":      outcome,
		"wait_ms":      wait.Milliseconds(),
	}).Info("admission decided")
}

// scheduleExpiry sets the timer to the next deadline of the admitter.
func (g *Gate) scheduleExpiry(now time.Time) {
	if g.timer != nil {
		g.timer.Stop()
	}
	due := g.admitter.NextDeadline(now)
	if due.IsZero() || g.closed {
		return
	}
	g.timer = time.AfterFunc(due.Sub(now), g.run)
}

// run handles the expiry of the timer. It refuses the requests whose wait limit
// has passed and admits those for which a slot has become free.
func (g *Gate) run() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.applyEffects(now, g.admitter.Expire(now))
}
