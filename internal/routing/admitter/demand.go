package admitter

import "time"

// demandBuckets is the number of buckets in the demand window.
const demandBuckets = 8

// demandTracker tracks the peak interactive demand, in slots, over a sliding
// window of buckets.
type demandTracker struct {
	window       time.Duration
	peaks        [demandBuckets]int
	current      int
	bucketEndsAt time.Time
}

func (d *demandTracker) bucketLength() time.Duration { return d.window / demandBuckets }

// advance moves to the bucket that contains now and resets the buckets that it
// passes. A gap longer than the window restarts the bucket times at now.
func (d *demandTracker) advance(now time.Time) {
	if d.bucketLength() <= 0 {
		return
	}
	if d.bucketEndsAt.IsZero() {
		d.bucketEndsAt = now.Add(d.bucketLength())
		return
	}
	for i := 0; i < demandBuckets && !now.Before(d.bucketEndsAt); i++ {
		d.current = (d.current + 1) % demandBuckets
		d.peaks[d.current] = 0
		d.bucketEndsAt = d.bucketEndsAt.Add(d.bucketLength())
	}
	if !now.Before(d.bucketEndsAt) {
		d.bucketEndsAt = now.Add(d.bucketLength())
	}
}

func (d *demandTracker) observe(now time.Time, slots int) {
	d.advance(now)
	d.peaks[d.current] = max(d.peaks[d.current], slots)
}

// peak returns the highest demand in the window, or 0 if no window is set.
func (d *demandTracker) peak(now time.Time) int {
	if d.bucketLength() <= 0 {
		return 0
	}
	d.advance(now)
	highest := 0
	for _, p := range d.peaks {
		highest = max(highest, p)
	}
	return highest
}
