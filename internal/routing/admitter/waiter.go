package admitter

import (
	"time"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// waiter is a request that waits for a slot.
type waiter struct {
	request  Request
	class    *class
	flow     *flow
	giveUpAt time.Time
	// overdueKind is the kind of refusal once giveUpAt has passed.
	overdueKind classifier.Kind
	index       int
}

func (w *waiter) before(other *waiter) bool { return w.giveUpAt.Before(other.giveUpAt) }
func (w *waiter) setIndex(i int)            { w.index = i }

// holder is a request that holds a slot.
type holder struct {
	request   Request
	class     *class
	flow      *flow
	startedAt time.Time
}
