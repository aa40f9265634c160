package gatekeeper

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	waitSampleSize  = 1028
	waitSampleAlpha = 0.015
)

// meter counts the outcomes of the gate.
type meter struct {
	registry metrics.Registry
	wait     metrics.Histogram
}

func newMeter(registry metrics.Registry) meter {
	if registry == nil {
		registry = metrics.DefaultRegistry
	}
	sample := metrics.NewExpDecaySample(waitSampleSize, waitSampleAlpha)
	return meter{
		registry: registry,
		wait:     metrics.GetOrRegisterHistogram("admission_wait_ms", registry, sample),
	}
}

func (m meter) count(outcome string, wait time.Duration) {
	metrics.GetOrRegisterCounter("admission_"+outcome, m.registry).Inc(1)
	if outcome == outcomeAdmitted {
		m.wait.Update(wait.Milliseconds())
	}
}
