package throttler

import (
	"math"
	"time"
)

// reservedTolerance is the share of the tolerance of a quota that no bucket holds. It covers
// what VMs use that have no hub, or another one, and what they use before they ask.
const reservedTolerance = 0.5

// Quota is a token bucket for what all VMs together run for an organisation. Amounts are
// requests, or tokens of prompts and outputs.
type Quota struct {
	PerSecond float64
	// Capacity is what may be used at once after a time without use.
	Capacity float64
}

// QuotaConfig configures a Quota.
type QuotaConfig struct {
	PerSecond float64
	Burst     float64
	// Window, Over and Slack are the tolerance: in each Window, Over times what the quota
	// allows may be used beyond it, and Slack.
	Window time.Duration
	Over   float64
	Slack  float64
}

// NewQuota returns a quota whose capacity is the burst and a part of the tolerance.
func NewQuota(cfg QuotaConfig) Quota {
	tolerance := cfg.Over*(cfg.PerSecond*cfg.Window.Seconds()+cfg.Burst) + cfg.Slack
	return Quota{PerSecond: cfg.PerSecond, Capacity: cfg.Burst + (1-reservedTolerance)*tolerance}
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
