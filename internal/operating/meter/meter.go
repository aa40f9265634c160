// Package meter keeps the metrics of a process and exports them in the text
// form of Prometheus.
package meter

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// sampleSize and sampleAlpha are the usual form of a sample that favours
	// the last five minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// series is one metric with one value of its label.
type series struct {
	name  Name
	value string
}

// key returns the name of the series in the registry.
func (s series) key() string { return string(s.name) + "\x00" + s.value }

// Meter keeps the metrics of one process. Its methods may be called from many
// goroutines.
type Meter struct {
	registry metrics.Registry
}

// New returns a Meter without values.
func New() *Meter {
	return &Meter{registry: metrics.NewRegistry()}
}

// Count adds n to a counter. The label value is empty for a metric without one.
func (m *Meter) Count(name Name, value string, n int64) {
	entry := m.registry.GetOrRegister(series{name, value}.key(), metrics.NewCounter)
	if c, ok := entry.(metrics.Counter); ok {
		c.Inc(n)
	}
}

// Set sets a gauge.
func (m *Meter) Set(name Name, value string, n int64) {
	if g, ok := m.gauge(name, value); ok {
		g.Update(n)
	}
}

func (m *Meter) gauge(name Name, value string) (metrics.Gauge, bool) {
	entry := m.registry.GetOrRegister(series{name, value}.key(), metrics.NewGauge)
	g, ok := entry.(metrics.Gauge)
	return g, ok
}

// Observe adds a duration to a summary.
func (m *Meter) Observe(name Name, d time.Duration) {
	entry := m.registry.GetOrRegister(series{name: name}.key(), newDurations)
	if t, ok := entry.(*durations); ok {
		t.observe(d)
	}
}

// durations is a histogram of durations in nanoseconds. Unlike the histogram
// that it builds on it keeps the sum of all values, not only of its sample.
type durations struct {
	metrics.Histogram
	total metrics.Counter
}

func newDurations() *durations {
	return &durations{
		Histogram: metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
		total:     metrics.NewCounter(),
	}
}

func (d *durations) observe(value time.Duration) {
	d.Update(int64(value))
	d.total.Inc(int64(value))
}
