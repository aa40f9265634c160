package admitter

import "time"

// fits reports whether a request of the class may take a slot now.
func (a *Admitter) fits(now time.Time, c *class) bool {
	if a.interactive.running+a.batch.running >= a.slots {
		return false
	}
	if c == a.interactive {
		return true
	}
	return a.interactive.waiting == 0 && a.batch.running < a.batchSlots(now)
}

// batchSlots returns how many slots batch work may hold: its share, and no
// more than the interactive peak of the demand window leaves spare.
func (a *Admitter) batchSlots(now time.Time) int {
	a.observeDemand(now)
	share := int(a.policy.BatchShare * float64(a.slots))
	spare := a.slots - a.demand.peak(now)
	return max(min(share, spare), 0)
}

// dispatch gives the free slots to the requests that are due first.
func (a *Admitter) dispatch(now time.Time) []string {
	a.observeDemand(now)
	var admitted []string
	for {
		w := a.next(now)
		if w == nil {
			return admitted
		}
		a.remove(w)
		a.start(now, w.request, w.class, w.flow)
		admitted = append(admitted, w.request.ID)
	}
}

func (a *Admitter) next(now time.Time) *waiter {
	if a.fits(now, a.interactive) && a.interactive.waiting > 0 {
		return a.interactive.next()
	}
	if a.batch.waiting > 0 && a.fits(now, a.batch) {
		return a.batch.next()
	}
	return nil
}

func (a *Admitter) start(now time.Time, r Request, c *class, f *flow) {
	c.start(f, r.Cost)
	a.running[r.ID] = &holder{request: r, class: c, flow: f, startedAt: now}
	a.observeDemand(now)
}

func (a *Admitter) remove(w *waiter) {
	delete(a.waiting, w.request.ID)
	a.expiry.remove(w.index)
	w.class.remove(w)
}

func (a *Admitter) observeDemand(now time.Time) {
	a.demand.observe(now, a.interactive.running+a.interactive.waiting)
}
