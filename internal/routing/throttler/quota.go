package throttler

import (
	"math"
	"time"
)

// reservedSlack is the share of the slack of a quota that no bucket holds. It covers what VMs
// use that have no hub, or another one, and what they use before they ask.
const reservedSlack = 0.4

// Quota is a token bucket for what all VMs together run for an organisation. Amounts are
// requests, or tokens of prompts and outputs.
type Quota struct {
	PerSecond float64
	// Capacity is what may be used at once after a time without use.
	Capacity float64
	// Reserve is what may be used beyond that for a short time.
	Reserve float64
}

// admits reports whether a request may ever use an amount. One above the capacity leaves a
// debt, which the reserve covers; a quota with hardly any capacity takes what it gives in a
// second.
func (q Quota) admits(amount float64) bool { return amount <= max(q.Capacity+q.Reserve, q.PerSecond) }

// QuotaConfig configures a Quota.
type QuotaConfig struct {
	PerSecond float64
	Burst     float64
	// Over and Slack are the tolerance: in each window, Over times what the quota allows may
	// be used beyond it, and Slack.
	Over  float64
	Slack float64
}

// NewQuota returns a quota that uses the tolerance but for a reserve, since a request that
// is refused within the tolerance is lost to its caller.
func NewQuota(cfg QuotaConfig) Quota {
	return Quota{
		PerSecond: (1 + cfg.Over) * cfg.PerSecond,
		Capacity:  (1+cfg.Over)*cfg.Burst + (1-reservedSlack)*cfg.Slack,
		Reserve:   reservedSlack * cfg.Slack,
	}
}

// QuotaReport is what a VM reports of an organisation to the hub: amounts since the last
// report, and the demand of the requests that wait.
type QuotaReport struct {
	Organisation string
	// Used is the part of grants that was used, less what requests have given back that were
	// not run. Returned is the part that has expired.
	Used     float64
	Returned float64
	// Owed is what was used without a grant and without the VM's own share.
	Owed float64
	// First is the amount of the request that is next, Wanted that of all that wait.
	First  float64
	Wanted float64
}

// changes reports whether the report says anything.
func (r QuotaReport) changes() bool { return r.Used != 0 || r.Returned+r.Owed+r.Wanted > 0 }

// Valid reports whether all amounts are finite, and not negative but for Used.
func (r QuotaReport) Valid() bool {
	for _, amount := range []float64{math.Abs(r.Used), r.Returned, r.Owed, r.First, r.Wanted} {
		if !(amount >= 0) || math.IsInf(amount, 0) {
			return false
		}
	}
	return r.First <= r.Wanted
}

// QuotaGrant is an amount of an organisation's quota that the hub lets a VM use.
type QuotaGrant struct {
	Organisation string
	Amount       float64
}

// QuotaState is what the hub tells all VMs of an organisation's quota.
type QuotaState struct {
	Organisation string
	// Calm is true while the bucket is at least half full.
	Calm bool
	// Room is the time until the bucket covers the demand of the requests that wait now.
	Room time.Duration
}
