package estimator

import "time"

const (
	// averageGain is the weight of a new sample in a moving average.
	averageGain = 0.2
	// excessGain is the weight of a sample above the average if the excess is
	// mostly wait time rather than the measured quantity.
	excessGain = 0.02
)

// average is an exponentially weighted moving average of durations.
type average time.Duration

func (a *average) add(sample time.Duration) {
	if *a == 0 {
		*a = average(sample)
		return
	}
	*a += average(averageGain * float64(sample-time.Duration(*a)))
}

// addWithWait adds a sample that may include wait time. Samples above the
// average count less, so that it follows the low samples, which include little
// wait.
func (a *average) addWithWait(sample time.Duration) {
	if *a == 0 || sample <= time.Duration(*a) {
		a.add(sample)
		return
	}
	*a += average(excessGain * float64(sample-time.Duration(*a)))
}

// valueOr returns the average, or fallback if there are no samples.
func (a average) valueOr(fallback time.Duration) time.Duration {
	if a == 0 {
		return fallback
	}
	return time.Duration(a)
}
