package throttler

import (
	"slices"
	"time"
)

// creditRecord is the credit of one organisation.
type creditRecord struct {
	quota   Quota
	credits []expiringAmount
	// own is the VM's share of the quota without a hub.
	own bucket
	// advance is what was used without a grant since the last report, and advances what
	// reports have stated of it that the hub has not answered, each with the time of the
	// report.
	advance  float64
	advances []expiringAmount
	// exhausted is true if the hub has stated last that the quota is not calm.
	exhausted bool
	roomAt    time.Time
	stateAt   time.Time
	// report holds the amounts since the last report, and the demand.
	report QuotaReport
}

// returnCredits gives the credits back for which expired returns true.
func (r *creditRecord) returnCredits(expired func(expiringAmount) bool) {
	r.credits = slices.DeleteFunc(r.credits, func(e expiringAmount) bool {
		if !expired(e) {
			return false
		}
		r.report.Returned += e.amount
		return true
	})
}

func (r *creditRecord) credit() float64 { return sumAmounts(r.credits) }

// advanced returns what was used without a grant and is not known to the hub.
func (r *creditRecord) advanced() float64 { return r.advance + sumAmounts(r.advances) }

func sumAmounts(list []expiringAmount) float64 {
	sum := 0.0
	for _, e := range list {
		sum += e.amount
	}
	return sum
}

// use takes an amount from the credits, those first that were added first.
func (r *creditRecord) use(amount float64) {
	r.report.Used += amount
	for amount > 0 && len(r.credits) > 0 {
		part := min(amount, r.credits[0].amount)
		amount -= part
		if r.credits[0].amount -= part; r.credits[0].amount > 0 {
			return
		}
		r.credits = r.credits[1:]
	}
}
