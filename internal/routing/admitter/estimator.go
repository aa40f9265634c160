package admitter

import (
	"math"
	"time"
)

const (
	// estimateGain is the weight of one observation in the running means.
	estimateGain = 0.05
	// maxCorrection bounds the later charge of one request, in multiples of
	// its estimated cost.
	maxCorrection = 4
	// deviations is the number of mean deviations added to an estimate that a
	// deadline is checked against.
	deviations = 2
)

// estimator learns how long requests hold a slot.
type estimator struct {
	// hold is the mean time that a request holds a slot.
	hold time.Duration
	// perToken is the mean time that one token of cost holds a slot.
	perToken time.Duration
	// deviation is the mean error of the estimated hold, as a share of it.
	deviation float64
}

func (e *estimator) observe(held time.Duration, cost float64) {
	held = max(held, 0)
	perToken := time.Duration(float64(held) / cost)
	if e.hold == 0 {
		e.hold = held
		e.perToken = perToken
		return
	}
	if work := e.work(cost); work > 0 {
		off := math.Abs(float64(held-work)) / float64(work)
		e.deviation += estimateGain * (min(off, maxCorrection) - e.deviation)
	}
	e.hold += time.Duration(estimateGain * float64(held-e.hold))
	e.perToken += time.Duration(estimateGain * float64(perToken-e.perToken))
}

// work returns the time that cost holds one slot.
func (e *estimator) work(cost float64) time.Duration {
	return time.Duration(cost * float64(e.perToken))
}

// likely returns a time within which cost most likely leaves its slot.
func (e *estimator) likely(cost float64) time.Duration {
	return time.Duration((1 + deviations*e.deviation) * float64(e.work(cost)))
}

// correction returns what to charge on top of cost for a slot held that long.
func (e *estimator) correction(held time.Duration, cost float64) float64 {
	if e.perToken <= 0 {
		return 0
	}
	used := float64(max(held, 0)) / float64(e.perToken)
	return min(used-cost, maxCorrection*cost)
}
