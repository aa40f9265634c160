package meter

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// quantiles are the quantiles exported for each summary.
var quantiles = []float64{0.5, 0.95, 0.99}

// Write writes all metrics in the Prometheus text format, sorted by name and label
// value.
func (m *Meter) Write(w io.Writer) error {
	var text bytes.Buffer
	var last Name
	for _, key := range m.keys() {
		name, value, _ := strings.Cut(key, "\x00")
		if Name(name) != last {
			last = Name(name)
			d := descriptions[last]
			fmt.Fprintf(&text, "# HELP %s %s\n# TYPE %s %s\n", name, d.help, name, d.metricType)
		}
		writeSeries(&text, series{Name(name), value}, m.registry.Get(key))
	}
	if _, err := text.WriteTo(w); err != nil {
		return fmt.Errorf("write metrics: %w", err)
	}
	return nil
}

// keys returns the sorted registry keys of all series.
func (m *Meter) keys() []string {
	var keys []string
	m.registry.Each(func(key string, _ any) { keys = append(keys, key) })
	slices.Sort(keys)
	return keys
}

func writeSeries(w io.Writer, s series, metric any) {
	switch e := metric.(type) {
	case metrics.Counter:
		fmt.Fprintf(w, "%s %d\n", s, e.Count())
	case metrics.Gauge:
		fmt.Fprintf(w, "%s %d\n", s, e.Value())
	case *durationSummary:
		sample := e.Snapshot()
		for i, value := range sample.Percentiles(quantiles) {
			fmt.Fprintf(w, "%s{quantile=%q} %s\n", s.name, fmt.Sprint(quantiles[i]), formatSeconds(value))
		}
		fmt.Fprintf(w, "%s_sum %s\n", s.name, formatSeconds(float64(e.total.Count())))
		fmt.Fprintf(w, "%s_count %d\n", s.name, sample.Count())
	}
}

// String returns the series name with its label in the Prometheus text format.
func (s series) String() string {
	label := descriptions[s.name].label
	if label == "" {
		return string(s.name)
	}
	return fmt.Sprintf("%s{%s=%q}", s.name, label, s.value)
}

// formatSeconds formats a duration in nanoseconds as seconds.
func formatSeconds(nanoseconds float64) string {
	return strconv.FormatFloat(nanoseconds/float64(time.Second), 'g', -1, 64)
}

// ServeHTTP implements http.Handler. It updates the gauges of the process and serves all
// metrics.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	m.Set(HeapBytes, "", int64(memory.HeapAlloc)) //nolint:gosec // The heap is smaller than 2^63 bytes.
	m.Set(Goroutines, "", int64(runtime.NumGoroutine()))
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_ = m.Write(w)
}
