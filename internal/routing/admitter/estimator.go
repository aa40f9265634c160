package admitter

import (
	"math"
	"time"
)

const (
	// estimateGain is the smoothing factor of the moving averages.
	estimateGain = 0.05
	// maxCorrection bounds the charge that is added when a request finishes, in
	// multiples of its estimated cost. It also bounds the relative error that
	// enters the mean deviation.
	maxCorrection = 4
	// deadlineDeviations is the number of mean deviations that are added to an
	// estimated hold time when it is checked against a deadline.
	deadlineDeviations = 2
)

// estimator estimates how long requests hold a slot, from exponentially weighted
// moving averages (EWMA) of finished requests.
type estimator struct {
	// meanHold is the mean time that a request holds a slot.
	meanHold time.Duration
	// meanPerToken is the mean hold time per token of cost.
	meanPerToken time.Duration
	// meanDeviation is the mean absolute error of the estimated hold time,
	// relative to the estimate.
	meanDeviation float64
}

func (e *estimator) observe(held time.Duration, cost float64) {
	held = max(held, 0)
	perToken := time.Duration(float64(held) / cost)
	if e.meanHold == 0 {
		e.meanHold = held
		e.meanPerToken = perToken
		return
	}
	if holdTime := e.holdTime(cost); holdTime > 0 {
		relativeError := math.Abs(float64(held-holdTime)) / float64(holdTime)
		e.meanDeviation += estimateGain * (min(relativeError, maxCorrection) - e.meanDeviation)
	}
	e.meanHold += time.Duration(estimateGain * float64(held-e.meanHold))
	e.meanPerToken += time.Duration(estimateGain * float64(perToken-e.meanPerToken))
}

// holdTime returns the estimated time for which a request of this cost holds a
// slot.
func (e *estimator) holdTime(cost float64) time.Duration {
	return time.Duration(cost * float64(e.meanPerToken))
}

// holdTimeBound returns a time within which a request of this cost most likely
// releases its slot.
func (e *estimator) holdTimeBound(cost float64) time.Duration {
	return time.Duration((1 + deadlineDeviations*e.meanDeviation) * float64(e.holdTime(cost)))
}

// costCorrection returns the difference between the cost that corresponds to the
// held time and the estimated cost. It is negative for a request that finished
// early.
func (e *estimator) costCorrection(held time.Duration, cost float64) float64 {
	if e.meanPerToken <= 0 {
		return 0
	}
	used := float64(max(held, 0)) / float64(e.meanPerToken)
	return min(used-cost, maxCorrection*cost)
}
