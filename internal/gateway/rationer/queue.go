package rationer

import (
	"cmp"
	"slices"
)

// waiter is a request that waits for credit.
type waiter struct {
	amount   float64
	priority int
	// ready is closed when the request has got its credit.
	ready chan struct{}
}

// queue holds the requests of one organisation that wait for credit, by priority and then by
// arrival.
type queue struct{ waiters []*waiter }

// isBehind reports whether a request that goes before w, or as it does, waits already.
func (q *queue) isBehind(w *waiter) bool {
	return len(q.waiters) > 0 && q.waiters[0].priority <= w.priority
}

func (q *queue) add(w *waiter) {
	// Behind all of its priority.
	i, _ := slices.BinarySearchFunc(q.waiters, w, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), -1)
	})
	q.waiters = slices.Insert(q.waiters, i, w)
}

func (q *queue) remove(w *waiter) {
	if i := slices.Index(q.waiters, w); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
	}
}

// popFirst removes the first request and lets it run.
func (q *queue) popFirst() {
	close(q.waiters[0].ready)
	q.waiters = slices.Delete(q.waiters, 0, 1)
}

// demand returns the amount of the first request and that of all.
func (q *queue) demand() (first, sum float64) {
	for i, w := range q.waiters {
		if sum += w.amount; i == 0 {
			first = w.amount
		}
	}
	return first, sum
}
