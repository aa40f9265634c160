package estimator

import "time"

const (
	// weightOfSample is the weight of a new sample in a moving average.
	weightOfSample = 0.2
	// weightOfExcess is the weight of a sample that is above the average where
	// an excess is mostly something else than what is measured.
	weightOfExcess = 0.02
)

// average is an exponentially weighted moving average of durations.
type average time.Duration

func (a *average) add(sample time.Duration) {
	if *a == 0 {
		*a = average(sample)
		return
	}
	*a += average(weightOfSample * float64(sample-time.Duration(*a)))
}

// addLow adds a sample that may contain a wait, so that the average follows the
// low ones.
func (a *average) addLow(sample time.Duration) {
	if *a == 0 || sample <= time.Duration(*a) {
		a.add(sample)
		return
	}
	*a += average(weightOfExcess * float64(sample-time.Duration(*a)))
}

func (a average) or(fallback time.Duration) time.Duration {
	if a == 0 {
		return fallback
	}
	return time.Duration(a)
}
