package limiter

import (
	"math"
	"time"
)

// meterTimeConstant is the time constant of the exponential decay.
const meterTimeConstant = 2 * time.Second

// meter is an exponentially decaying average of events per second.
type meter struct {
	rate float64
	at   time.Time
}

// decay applies the decay since the last call. A backward clock step causes no
// decay.
func (m *meter) decay(now time.Time) {
	elapsed := now.Sub(m.at)
	first := m.at.IsZero()
	m.at = now
	if first || elapsed <= 0 {
		return
	}
	m.rate *= math.Exp(-float64(elapsed) / float64(meterTimeConstant))
}

func (m *meter) add(now time.Time) {
	m.decay(now)
	m.rate += 1 / meterTimeConstant.Seconds()
}

func (m *meter) value(now time.Time) float64 {
	m.decay(now)
	return m.rate
}
