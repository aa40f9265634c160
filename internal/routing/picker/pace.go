package picker

import "time"

const (
	// calibrationGain is the weight of a new sample in the moving average.
	calibrationGain = 0.05
	// minCalibrationRatio and maxCalibrationRatio clamp samples, so that a few
	// outliers do not distort the average.
	minCalibrationRatio = 0.7
	maxCalibrationRatio = 3
	// minCalibrationEstimate is the shortest estimate that is sampled; the
	// ratio of shorter ones is meaningless.
	minCalibrationEstimate = 40 * time.Millisecond
)

// calibration is a moving average of the ratio between the observed time to the
// first event and its estimate. The estimate leaves out the tokens that an
// engine generates for other requests at the same time.
type calibration struct{ factor float64 }

func newCalibration() calibration { return calibration{factor: 1.2} }

func (c *calibration) scale(estimate time.Duration) time.Duration {
	return time.Duration(c.factor * float64(estimate))
}

func (c *calibration) observe(estimate, took time.Duration) {
	if estimate < minCalibrationEstimate {
		return
	}
	ratio := min(max(float64(took)/float64(estimate), minCalibrationRatio), maxCalibrationRatio)
	c.factor += calibrationGain * (ratio - c.factor)
}
