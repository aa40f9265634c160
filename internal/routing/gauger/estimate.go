package gauger

import (
	"math"
	"time"
)

const (
	// memory is the time constant with which samples lose their weight, so that an engine
	// that gets few requests returns to the mean, gets more, and is learned again.
	memory = 12 * time.Second
	// maxWeight bounds the weight of earlier samples, so that an engine with many prompts is
	// learned again as soon as its speed changes.
	maxWeight = 100.0
	// priorWeight is the weight of the fleet's mean as a prior, and that of the estimate of
	// an earlier incarnation.
	priorWeight = 2.0
	// maxSumWeight bounds the weight of one sum: all its samples are wrong if the VM was
	// paused.
	maxSumWeight = 5.0
	// priorDeviation is the standard deviation of the ratios of an engine before it is known.
	priorDeviation = 0.3
	// doubt is the number of standard errors by which an estimate must differ from the mean
	// to be published, and keptDoubt that by which it must differ to stay published. The
	// expected times err in the same direction for some prompts in a row, since the queue is
	// known late, so that fewer errors are not enough: at equal speeds the estimate would
	// send requests to and fro.
	doubt     = 3.0
	keptDoubt = 1.5
	// minWeight is the weight below which an engine is forgotten.
	minWeight = 0.05
)

// estimate is what is known of one engine. Ratios are logarithms of the observed to the
// expected time.
type estimate struct {
	service       string
	startedMillis int64
	// weight is the sum of the weights of the samples, and sum that of their ratios.
	weight float64
	sum    float64
	// squares is the sum of the weighted squares of the ratios, and count the number of sums
	// of samples, with the loss of weight.
	squares   float64
	count     float64
	updatedAt time.Time
	// published is the factor that Factor returns.
	published float64
}

// age lets the samples lose weight.
func (e *estimate) age(now time.Time) {
	if passed := now.Sub(e.updatedAt); passed > 0 {
		e.scale(math.Exp(-float64(passed) / float64(memory)))
		e.updatedAt = now
	}
}

func (e *estimate) scale(factor float64) {
	e.weight *= factor
	e.sum *= factor
	e.squares *= factor
	e.count *= factor
}

// ratio returns the estimated ratio, given the mean of the service.
func (e *estimate) ratio(mean float64) float64 {
	return (e.sum + priorWeight*mean) / (e.weight + priorWeight)
}

// observe adds a sum of samples.
func (e *estimate) observe(s Sample) {
	if s.StartedMillis != e.startedMillis {
		e.startedMillis = s.StartedMillis
		if e.weight > priorWeight {
			e.scale(priorWeight / e.weight)
		}
	}
	ratio := s.logRatio()
	weight := min(float64(s.Count), maxSumWeight)
	e.sum += weight * ratio
	e.squares += weight * ratio * ratio
	e.count++
	e.weight += weight
	if e.weight > maxWeight {
		e.scale(maxWeight / e.weight)
	}
}

// standardError returns the standard error of the mean ratio of the samples.
func (e *estimate) standardError() float64 {
	mean := e.sum / e.weight
	variance := max(e.squares/e.weight-mean*mean, 0)
	variance = (e.count*variance + priorWeight*priorDeviation*priorDeviation) / (e.count + priorWeight)
	return math.Sqrt(variance / e.count)
}

// factor returns the speed, given the mean ratio of the service. It is 1 unless the samples
// show that the engine differs from the mean.
func (e *estimate) factor(mean float64) float64 {
	difference := mean - e.ratio(mean)
	errors := doubt
	if e.published != 1 {
		errors = keptDoubt
	}
	if math.Abs(difference) < errors*e.standardError() {
		return 1
	}
	return min(max(math.Exp(difference), minFactor), maxFactor)
}
