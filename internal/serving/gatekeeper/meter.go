package gatekeeper

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// Parameters of the exponentially decaying sample of wait times.
const (
	waitSampleSize  = 1028
	waitSampleAlpha = 0.015
)

// admissionMetrics counts the outcomes of admission and samples the wait times of
// admitted requests.
type admissionMetrics struct {
	registry metrics.Registry
	wait     metrics.Histogram
}

func newAdmissionMetrics(registry metrics.Registry) admissionMetrics {
	if registry == nil {
		registry = metrics.DefaultRegistry
	}
	sample := metrics.NewExpDecaySample(waitSampleSize, waitSampleAlpha)
	return admissionMetrics{
		registry: registry,
		wait:     metrics.GetOrRegisterHistogram("admission_wait_ms", registry, sample),
	}
}

func (m admissionMetrics) recordOutcome(outcome string, wait time.Duration) {
	metrics.GetOrRegisterCounter("admission_"+outcome, m.registry).Inc(1)
	if outcome == outcomeAdmitted {
		m.wait.Update(wait.Milliseconds())
	}
}
