package admitter

import "time"

// canStart reports whether a request of the class may start now.
func (a *Admitter) canStart(now time.Time, c *class) bool {
	if a.interactive.running+a.batch.running >= a.slots {
		return false
	}
	if c == a.interactive {
		return true
	}
	return a.interactive.waiting == 0 && a.batch.running < a.batchSlots(now)
}

// batchSlots returns the number of slots that batch requests may use: their
// share of the slots, limited to the slots that the peak interactive demand of
// the demand window leaves free.
func (a *Admitter) batchSlots(now time.Time) int {
	a.observeDemand(now)
	share := int(a.policy.BatchShare * float64(a.slots))
	spare := a.slots - a.demand.peak(now)
	return max(min(share, spare), 0)
}

// dispatch starts waiting requests while slots are free and returns their IDs.
func (a *Admitter) dispatch(now time.Time) []string {
	a.observeDemand(now)
	var admitted []string
	for {
		w := a.nextAdmissible(now)
		if w == nil {
			return admitted
		}
		a.removeWaiter(w)
		a.startRequest(now, w.request, w.class, w.flow)
		admitted = append(admitted, w.request.ID)
	}
}

func (a *Admitter) nextAdmissible(now time.Time) *waiter {
	if a.canStart(now, a.interactive) && a.interactive.waiting > 0 {
		return a.interactive.peek()
	}
	if a.batch.waiting > 0 && a.canStart(now, a.batch) {
		return a.batch.peek()
	}
	return nil
}

func (a *Admitter) startRequest(now time.Time, r Request, c *class, f *flow) {
	c.startRequest(f, r.Cost)
	a.running[r.ID] = &runningRequest{request: r, class: c, flow: f, startedAt: now}
	a.observeDemand(now)
}

func (a *Admitter) removeWaiter(w *waiter) {
	delete(a.waiting, w.request.ID)
	a.expiry.remove(w.index)
	w.class.removeWaiter(w)
}

func (a *Admitter) observeDemand(now time.Time) {
	a.demand.observe(now, a.interactive.running+a.interactive.waiting)
}
