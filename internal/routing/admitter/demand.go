package admitter

import "time"

// demandBuckets is the number of parts into which the window is divided.
const demandBuckets = 8

// demand remembers the highest interactive demand of a sliding window, in slots.
type demand struct {
	window  time.Duration
	peaks   [demandBuckets]int
	current int
	endsAt  time.Time
}

func (d *demand) bucket() time.Duration { return d.window / demandBuckets }

// roll moves on to the bucket that holds now.
func (d *demand) roll(now time.Time) {
	if d.bucket() <= 0 {
		return
	}
	if d.endsAt.IsZero() {
		d.endsAt = now.Add(d.bucket())
		return
	}
	for i := 0; i < demandBuckets && !now.Before(d.endsAt); i++ {
		d.current = (d.current + 1) % demandBuckets
		d.peaks[d.current] = 0
		d.endsAt = d.endsAt.Add(d.bucket())
	}
	if !now.Before(d.endsAt) {
		d.endsAt = now.Add(d.bucket())
	}
}

func (d *demand) observe(now time.Time, slots int) {
	d.roll(now)
	d.peaks[d.current] = max(d.peaks[d.current], slots)
}

// peak returns the highest demand of the window; without a window it is zero.
func (d *demand) peak(now time.Time) int {
	if d.bucket() <= 0 {
		return 0
	}
	d.roll(now)
	highest := 0
	for _, p := range d.peaks {
		highest = max(highest, p)
	}
	return highest
}
