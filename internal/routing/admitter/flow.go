package admitter

import (
	"slices"
	"time"
)

// inactive is the index of a flow that has nothing waiting.
const inactive = -1

// flow is the work of one organisation within one class. Its pass is the
// virtual time at which its next request is due: each start moves the pass on
// by cost over weight, and the smallest pass is served first.
type flow struct {
	organisation string
	weight       int
	pass         float64
	queue        []*waiter
	// queuedCost is the work that waits, in tokens.
	queuedCost float64
	running    int
	// returnAt is the latest moment at which a refused request was told to come back.
	returnAt time.Time
	index    int
}

func (f *flow) before(other *flow) bool {
	if f.pass != other.pass {
		return f.pass < other.pass
	}
	return f.organisation < other.organisation
}

func (f *flow) setIndex(i int) { f.index = i }

// backlog is the waiting work in relation to the weight.
func (f *flow) backlog() float64 { return f.queuedCost / float64(f.weight) }

func (f *flow) charge(cost float64) { f.pass += cost / float64(f.weight) }

func (f *flow) drop(w *waiter) {
	i := slices.Index(f.queue, w)
	if i < 0 {
		return
	}
	f.queue = slices.Delete(f.queue, i, i+1)
	f.queuedCost -= w.request.Cost
}

// costBefore sums the waiting work that starts before the flow's pass reaches due.
func (f *flow) costBefore(due float64) float64 {
	pass := f.pass
	sum := 0.0
	for _, w := range f.queue {
		if pass >= due {
			break
		}
		sum += w.request.Cost
		pass += w.request.Cost / float64(f.weight)
	}
	return sum
}
