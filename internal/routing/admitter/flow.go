package admitter

import (
	"slices"
	"time"
)

// inactiveIndex is the heap index of a flow without waiting requests.
const inactiveIndex = -1

// flow holds the requests of one organisation in one class. Its start tag is the
// virtual time at which its next request is due. Each started request advances
// the start tag by cost/weight, and the flow with the smallest tag is served
// first.
type flow struct {
	organisation string
	weight       int
	startTag     float64
	queue        []*waiter
	// queuedCost is the total cost of the waiting requests, in tokens.
	queuedCost float64
	running    int
	// nextRetryAt is the earliest retry time for the next refused request.
	nextRetryAt time.Time
	index       int
}

func (f *flow) before(other *flow) bool {
	if f.startTag != other.startTag {
		return f.startTag < other.startTag
	}
	return f.organisation < other.organisation
}

func (f *flow) setIndex(i int) { f.index = i }

// backlog returns the queued cost per weight.
func (f *flow) backlog() float64 { return f.queuedCost / float64(f.weight) }

func (f *flow) charge(cost float64) { f.startTag += cost / float64(f.weight) }

func (f *flow) removeWaiter(w *waiter) {
	i := slices.Index(f.queue, w)
	if i < 0 {
		return
	}
	f.queue = slices.Delete(f.queue, i, i+1)
	f.queuedCost -= w.request.Cost
}

// costBefore returns the total cost of the waiting requests whose start tag is
// before due.
func (f *flow) costBefore(due float64) float64 {
	startTag := f.startTag
	sum := 0.0
	for _, w := range f.queue {
		if startTag >= due {
			break
		}
		sum += w.request.Cost
		startTag += w.request.Cost / float64(f.weight)
	}
	return sum
}
