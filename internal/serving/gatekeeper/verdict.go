package gatekeeper

import (
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/routing/admitter"
)

// outcomeAdmitted is the outcome logged and counted for an admission; any
// other outcome is the kind of the refusal.
const outcomeAdmitted = "admitted"

// apply hands the effects of an event to the handlers that wait.
func (g *Gate) apply(now time.Time, e admitter.Effects) {
	for _, refusal := range e.Refused {
		g.refuse(now, g.tickets[refusal.ID], refusal.Err)
	}
	for _, id := range e.Admitted {
		g.admit(now, g.tickets[id])
	}
	g.schedule(now)
}

func (g *Gate) admit(now time.Time, t *ticket) {
	g.record(now, t, outcomeAdmitted)
	t.verdict <- nil
}

func (g *Gate) refuse(now time.Time, t *ticket, err *classifier.Error) {
	delete(g.tickets, t.key)
	g.record(now, t, string(err.Kind))
	t.verdict <- err
}

func (g *Gate) record(now time.Time, t *ticket, outcome string) {
	wait := now.Sub(t.arrivedAt)
	g.meter.count(outcome, wait)
	g.log.WithFields(logrus.Fields{
		"event":        "admission",
		"request_id":   t.id,
		"organisation": t.organisation,
		"priority":     t.priority,
		"outcome":      outcome,
		"wait_ms":      wait.Milliseconds(),
	}).Info("admission decided")
}

// schedule sets the timer to the next moment at which a wait may end.
func (g *Gate) schedule(now time.Time) {
	if g.timer != nil {
		g.timer.Stop()
	}
	due := g.admitter.NextDeadline(now)
	if due.IsZero() || g.closed {
		return
	}
	g.timer = time.AfterFunc(due.Sub(now), g.run)
}

// run ends the waits that are due.
func (g *Gate) run() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.apply(now, g.admitter.Expire(now))
}
