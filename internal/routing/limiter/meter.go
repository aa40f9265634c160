package limiter

import (
	"math"
	"time"
)

// meterTime is the time over which use is averaged.
const meterTime = 2 * time.Second

// meter is a decaying mean of events a second.
type meter struct {
	rate float64
	at   time.Time
}

// decay lets the time that went by count. A clock that jumps back counts for none.
func (m *meter) decay(now time.Time) {
	passed := now.Sub(m.at)
	first := m.at.IsZero()
	m.at = now
	if first || passed <= 0 {
		return
	}
	m.rate *= math.Exp(-float64(passed) / float64(meterTime))
}

func (m *meter) add(now time.Time) {
	m.decay(now)
	m.rate += 1 / meterTime.Seconds()
}

func (m *meter) value(now time.Time) float64 {
	m.decay(now)
	return m.rate
}
