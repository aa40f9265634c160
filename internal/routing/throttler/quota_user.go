package throttler

import (
	"math"
	"time"
)

// useGain is the weight of the latest second in the recent use of a VM.
const useGain = 0.5

// quotaUser is the use of a quota by one VM.
type quotaUser struct {
	// outstanding is what was granted and is neither used nor returned.
	outstanding float64
	// grantedAt is when credit was granted or given back last.
	grantedAt     time.Time
	first, wanted float64
	wantedUntil   time.Time
	// perSecond is the recent use, as of usedAt.
	perSecond float64
	usedAt    time.Time
}

// expiringAmount is an amount that can be used until a time.
type expiringAmount struct {
	amount float64
	until  time.Time
}

// recordUse updates the recent use.
func (u *quotaUser) recordUse(now time.Time, amount float64) {
	weight := math.Pow(1-useGain, now.Sub(u.usedAt).Seconds())
	u.perSecond = u.perSecond*weight - amount*math.Log(1-useGain)
	u.usedAt = now
}
