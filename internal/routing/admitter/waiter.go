package admitter

import (
	"time"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// waiter is a queued request.
type waiter struct {
	request   Request
	class     *class
	flow      *flow
	expiresAt time.Time
	// expiryKind is the error kind of the refusal after expiresAt.
	expiryKind classifier.Kind
	index      int
}

func (w *waiter) before(other *waiter) bool { return w.expiresAt.Before(other.expiresAt) }
func (w *waiter) setIndex(i int)            { w.index = i }

// runningRequest is a request that holds a slot.
type runningRequest struct {
	request   Request
	class     *class
	flow      *flow
	startedAt time.Time
}
