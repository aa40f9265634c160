package coordinator

import (
	"errors"
	"fmt"
	"math"
	"time"

	"gentianstep.example/gentianstep/internal/routing/gauger"
)

const (
	// maxSpeeds bounds the engines with samples or factors of one message.
	maxSpeeds = 4096
	// maxSpeedPercent bounds the factor of an engine.
	maxSpeedPercent = 1000
)

// SpeedSample is the sum of the times of prompts at an engine since the last report.
type SpeedSample struct {
	Upstream       string `cbor:"1,keyasint"`
	ObservedMillis int64  `cbor:"2,keyasint"`
	ExpectedMillis int64  `cbor:"3,keyasint"`
	Count          int    `cbor:"4,keyasint"`
	// StartedMillis is the start of its process in Unix milliseconds, 0 if unknown.
	StartedMillis int64  `cbor:"5,keyasint,omitempty"`
	Service       string `cbor:"6,keyasint,omitempty"`
}

// sample returns the sum for the hub's estimate.
func (s SpeedSample) sample() gauger.Sample {
	return gauger.Sample{
		Upstream:      s.Upstream,
		StartedMillis: s.StartedMillis,
		Service:       s.Service,
		Observed:      millis(s.ObservedMillis),
		Expected:      millis(s.ExpectedMillis),
		Count:         s.Count,
	}
}

// UpstreamSpeed is the speed of an engine as a percentage of the mean of its service. The
// upstream is given by its index in the table of names.
type UpstreamSpeed struct {
	_        struct{} `cbor:",toarray"`
	Upstream int
	Percent  int
}

func newSpeedSamples(list []gauger.Sample) []SpeedSample {
	samples := make([]SpeedSample, 0, len(list))
	for _, s := range list[:min(len(list), maxSpeeds)] {
		samples = append(samples, SpeedSample{
			Upstream:       s.Upstream,
			ObservedMillis: max(s.Observed.Milliseconds(), 1),
			ExpectedMillis: max(s.Expected.Milliseconds(), 1),
			Count:          s.Count,
			StartedMillis:  s.StartedMillis,
			Service:        s.Service,
		})
	}
	return samples
}

func checkSpeedSamples(list []SpeedSample) error {
	if len(list) > maxSpeeds {
		return fmt.Errorf("got samples of %d engines, want at most %d", len(list), maxSpeeds)
	}
	for _, s := range list {
		// The bound on milliseconds keeps the conversion to a duration from overflowing.
		if max(s.ObservedMillis, s.ExpectedMillis) > math.MaxInt64/int64(time.Millisecond) || !s.sample().Valid() {
			return fmt.Errorf("samples of engine %q: a value is out of range", s.Upstream)
		}
	}
	return nil
}

// errSpeedOutOfRange is returned for a factor that no engine can have.
var errSpeedOutOfRange = errors.New("speed of an engine is out of range")

func checkSpeeds(list []UpstreamSpeed, names int) error {
	for _, s := range list {
		if s.Upstream < 0 || s.Upstream >= names || s.Percent <= 0 || s.Percent > maxSpeedPercent {
			return fmt.Errorf("upstream %d of %d, %d%%: %w", s.Upstream, names, s.Percent, errSpeedOutOfRange)
		}
	}
	return nil
}

// applySpeeds adds the samples that a VM has reported. The caller must hold h.mu.
func (h *Hub) applySpeeds(now time.Time, list []SpeedSample) {
	for _, s := range list {
		h.speeds.Observe(now, s.sample())
	}
}

// updateSpeeds collects the factors that have changed. The caller must hold h.mu.
func (h *Hub) updateSpeeds(now time.Time) {
	for _, f := range h.speeds.Update(now) {
		h.changedSpeeds[f.Upstream] = struct{}{}
	}
}

// upstreamSpeed returns the published factor of an engine. The caller must hold h.mu.
func (h *Hub) upstreamSpeed(upstream string) UpstreamSpeed {
	return UpstreamSpeed{Upstream: h.names.number(upstream), Percent: int(math.Round(100 * h.speeds.Factor(upstream)))}
}
