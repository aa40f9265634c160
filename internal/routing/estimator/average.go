package estimator

import "time"

// weightOfSample is the weight of a new sample in a moving average.
const weightOfSample = 0.2

// average is an exponentially weighted moving average of durations.
type average time.Duration

func (a *average) add(sample time.Duration) {
	if *a == 0 {
		*a = average(sample)
		return
	}
	*a += average(weightOfSample * float64(sample-time.Duration(*a)))
}

func (a average) or(fallback time.Duration) time.Duration {
	if a == 0 {
		return fallback
	}
	return time.Duration(a)
}
