package shedder

import (
	"math"
	"time"
)

const (
	// usageHalfLife is the time in which recorded use halves. It spans several
	// objectives, so that a single long prompt does not decide, and lets an
	// organisation return to its share within seconds of the end of its burst.
	usageHalfLife = 2 * time.Second
	// minUsage is the use below which an organisation is forgotten.
	minUsage = 1
	// maxOveruse bounds the levels of overuse.
	maxOveruse = 8
)

// Usage tracks the recent use of capacity by organisations, in tokens. The zero value is
// ready for use. It is not safe for concurrent use.
type Usage struct {
	tokens map[string]float64
	total  float64
	// asOf is the time to which tokens has decayed.
	asOf time.Time
}

// Touch makes an organisation count in fair shares while its requests wait. One whose
// requests are never sent would otherwise have no share.
func (u *Usage) Touch(now time.Time, organisation string) {
	u.decay(now)
	if u.tokens[organisation] < minUsage {
		u.Record(now, organisation, minUsage)
	}
}

// Record adds the tokens of a request that is sent.
func (u *Usage) Record(now time.Time, organisation string, tokens float64) {
	u.decay(now)
	if u.tokens == nil {
		u.tokens = make(map[string]float64)
	}
	if !(tokens >= 0) || math.IsInf(tokens, 1) {
		return
	}
	u.tokens[organisation] += tokens
	u.total += tokens
}

// Overuse returns the level by which an organisation exceeds an equal share of the
// recent use: 0 up to twice the share, and one more for each doubling. In coarse levels a
// small change of load does not change who is served.
func (u *Usage) Overuse(now time.Time, organisation string) int {
	u.decay(now)
	others := len(u.tokens)
	if _, ok := u.tokens[organisation]; ok {
		others--
	}
	if others == 0 {
		return 0 // nobody else to be fair to
	}
	share := (u.total - u.tokens[organisation]) / float64(others)
	ratio := u.tokens[organisation] / max(share, minUsage)
	if ratio < 2 {
		return 0
	}
	return min(int(math.Log2(ratio)), maxOveruse)
}

// decay reduces all use by the time that has passed, and forgets idle organisations.
func (u *Usage) decay(now time.Time) {
	passed := now.Sub(u.asOf)
	if passed < usageHalfLife/64 {
		return
	}
	factor := math.Exp2(-float64(passed) / float64(usageHalfLife))
	u.asOf, u.total = now, 0
	for name, tokens := range u.tokens {
		if tokens *= factor; tokens < minUsage {
			delete(u.tokens, name)
			continue
		}
		u.tokens[name] = tokens
		u.total += tokens
	}
}
