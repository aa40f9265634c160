package gauger

import (
	"math"
	"time"
)

const (
	// memory is the time constant with which samples lose their weight, so that an engine
	// that gets few requests returns to the mean, gets more, and is learned again.
	memory = 20 * time.Second
	// maxWeight bounds the weight of earlier samples. An engine whose speed changes is
	// learned again from some ten prompts.
	maxWeight = 10.0
	// priorWeight is the weight of the fleet's mean as a prior, and that of the estimate of
	// an earlier incarnation.
	priorWeight = 2.0
	// maxSurprise bounds how far a sum may lie from the estimate, as a logarithm: an outlier
	// moves the estimate by at most a twelfth of it.
	maxSurprise = 0.7
	// maxSumWeight bounds the weight of one sum, which a VM may have got wrong as a whole.
	maxSumWeight = 5.0
	// minWeight is the weight below which an engine is forgotten.
	minWeight = 0.05
)

// estimate is what is known of one engine. Ratios are logarithms of the observed to the
// expected time.
type estimate struct {
	service       string
	startedMillis int64
	// weight is the sum of the weights of the samples, and sum that of their ratios.
	weight    float64
	sum       float64
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
}

// ratio returns the estimated ratio, given the mean of the service.
func (e *estimate) ratio(mean float64) float64 {
	return (e.sum + priorWeight*mean) / (e.weight + priorWeight)
}

// observe adds a sum of samples.
func (e *estimate) observe(s Sample, mean float64) {
	if s.StartedMillis != e.startedMillis {
		e.startedMillis = s.StartedMillis
		if e.weight > priorWeight {
			e.scale(priorWeight / e.weight)
		}
	}
	known := e.ratio(mean)
	ratio := min(max(s.logRatio(), known-maxSurprise), known+maxSurprise)
	weight := min(float64(s.Count), maxSumWeight)
	e.sum += weight * ratio
	e.weight += weight
	if e.weight > maxWeight {
		e.scale(maxWeight / e.weight)
	}
}
