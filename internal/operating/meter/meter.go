// Package meter records the metrics of a process and exports them in the Prometheus
// text format.
package meter

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// sampleSize and sampleAlpha are the usual parameters of an exponentially
	// decaying sample that is biased towards the last five minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// series is a metric with one value of its label.
type series struct {
	name  Name
	value string
}

// key returns the key of the series in the registry.
func (s series) key() string { return string(s.name) + "\x00" + s.value }

// Meter records the metrics of a process. It is safe for concurrent use.
type Meter struct {
	registry metrics.Registry
}

// New returns a Meter without metrics.
func New() *Meter {
	return &Meter{registry: metrics.NewRegistry()}
}

// Count adds n to a counter. The label value is empty for a metric without a label.
func (m *Meter) Count(name Name, value string, n int64) {
	metric := m.registry.GetOrRegister(series{name, value}.key(), metrics.NewCounter)
	if c, ok := metric.(metrics.Counter); ok {
		c.Inc(n)
	}
}

// Set sets a gauge. The label value is empty for a metric without a label.
func (m *Meter) Set(name Name, value string, n int64) {
	if g, ok := m.gauge(name, value); ok {
		g.Update(n)
	}
}

func (m *Meter) gauge(name Name, value string) (metrics.Gauge, bool) {
	metric := m.registry.GetOrRegister(series{name, value}.key(), metrics.NewGauge)
	g, ok := metric.(metrics.Gauge)
	return g, ok
}

// Observe adds a duration to a summary.
func (m *Meter) Observe(name Name, d time.Duration) {
	metric := m.registry.GetOrRegister(series{name: name}.key(), newDurationSummary)
	if t, ok := metric.(*durationSummary); ok {
		t.observe(d)
	}
}

// durationSummary is a histogram of durations in nanoseconds. Unlike the embedded
// histogram it keeps the sum of all values, not only of the sampled ones.
type durationSummary struct {
	metrics.Histogram
	total metrics.Counter
}

func newDurationSummary() *durationSummary {
	return &durationSummary{
		Histogram: metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
		total:     metrics.NewCounter(),
	}
}

func (d *durationSummary) observe(value time.Duration) {
	d.Update(int64(value))
	d.total.Inc(int64(value))
}
