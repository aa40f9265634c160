package throttler

import "time"

// bucket is a token bucket. What is saved may be negative, which is a debt.
type bucket struct {
	saved   float64
	savedAt time.Time
}

// refill adds what a rate has given since the last call, up to a capacity.
func (b *bucket) refill(now time.Time, perSecond, capacity float64) {
	if passed := now.Sub(b.savedAt).Seconds(); passed > 0 {
		b.saved += perSecond * passed
	}
	b.saved = min(b.saved, capacity)
	b.savedAt = now
}

// contact is the latest contact of a VM with its hub. The zero value is that of a VM without
// a hub.
type contact struct{ until time.Time }

// confirm records that the hub has answered a report that was sent at a time. It reports
// whether the contact lasts longer than before.
func (c *contact) confirm(reportedAt time.Time) bool {
	until := reportedAt.Add(hubTTL)
	if !until.After(c.until) {
		return false
	}
	c.until = until
	return true
}

// end records that the connection to the hub has ended.
func (c *contact) end(now time.Time) {
	if now.Before(c.until) {
		c.until = now
	}
}

// lost reports whether the VM uses its own shares.
func (c *contact) lost(now time.Time) bool { return !now.Before(c.until) }
