package throttler

import (
	"math"
	"slices"
	"time"
)

const (
	// advanceShare is the share of the capacity that all VMs together may use without a grant
	// while a quota is calm, so that few requests of an organisation that stays below its
	// quota wait for one. A calm bucket holds as much.
	advanceShare = calmShare
	// silentTime is the time after a report from which on a hub is silent for a quota that is
	// not calm. Requests wait for 250 ms, and hubs answer within 150 ms as a rule.
	silentTime = 150 * time.Millisecond
	// stateTTL is how long the hub's state of a quota is used. Requests that wait then are
	// refused or served, so that an older one says little.
	stateTTL = time.Second
)

// Credits keeps the requests of one VM within the quotas of organisations. The hub grants
// credit to the VMs with demand. A VM without a hub uses a fixed share of each quota. It is
// not safe for concurrent use.
//
// Load: an organisation that sends seven times its usual load through all VMs at once, or
// through one, beside others that stay below their quotas.
type Credits struct {
	fleet Fleet
	hub   contact
	// unansweredAt is the time of the first report that the hub has not answered, zero if it
	// has answered all.
	unansweredAt time.Time
	// startedAt is when quotas were set first.
	startedAt time.Time
	records   map[string]*creditRecord
}

// NewCredits returns Credits without quotas.
func NewCredits() *Credits { return &Credits{records: make(map[string]*creditRecord)} }

// SetQuotas replaces the quotas. Credit of one that is lowered is returned.
func (c *Credits) SetQuotas(now time.Time, quotas map[string]Quota) {
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	for name := range c.records {
		if _, ok := quotas[name]; !ok {
			delete(c.records, name)
		}
	}
	for name, quota := range quotas {
		r := c.records[name]
		if r == nil {
			r = &creditRecord{own: bucket{savedAt: now}, report: QuotaReport{Organisation: name}}
			c.records[name] = r
		} else {
			c.refill(now, r)
		}
		if quota.PerSecond < r.quota.PerSecond || quota.Capacity < r.quota.Capacity {
			r.returnCredits(func(expiringAmount) bool { return true })
		}
		r.quota = quota
	}
}

// SetFleet sets the VMs that share the quotas.
func (c *Credits) SetFleet(now time.Time, f Fleet) {
	if f.Equal(c.fleet) {
		return
	}
	for _, r := range c.records {
		c.refill(now, r)
	}
	c.fleet = f
}

// ConfirmHub records that the hub has answered a report that was sent at a time.
func (c *Credits) ConfirmHub(now, reportedAt time.Time) {
	for _, r := range c.records {
		c.refill(now, r)
	}
	if !reportedAt.Before(c.unansweredAt) {
		c.unansweredAt = time.Time{}
	}
	if !c.hub.confirm(reportedAt) || c.hub.lost(now) {
		return
	}
	for _, r := range c.records {
		r.advances = slices.DeleteFunc(r.advances, func(e expiringAmount) bool { return !reportedAt.Before(e.until) })
		if r.own.saved < 0 {
			r.report.Owed -= r.own.saved
		}
		r.own.saved = 0
	}
}

// EndHub records that the connection to the hub has ended. The hub leaves the VM its share
// from then on; a VM that waited longer would refuse what its organisations may use.
func (c *Credits) EndHub(now time.Time) {
	for _, r := range c.records {
		c.refill(now, r)
	}
	c.hub.end(now)
	c.unansweredAt = time.Time{}
}

// Alone reports whether this VM uses its own share of the quotas.
func (c *Credits) Alone(now time.Time) bool { return c.hub.lost(now) }

// AddGrant adds a grant of the hub. reportedAt is when the report that it answers was sent.
func (c *Credits) AddGrant(now time.Time, g QuotaGrant, reportedAt time.Time) {
	r := c.records[g.Organisation]
	if r == nil {
		return
	}
	r.credits = append(r.credits, expiringAmount{g.Amount, reportedAt.Add(grantTTL)})
	c.refill(now, r)
}

// ApplyState applies what the hub states of a quota.
func (c *Credits) ApplyState(now time.Time, s QuotaState) {
	if r := c.records[s.Organisation]; r != nil {
		r.exhausted, r.roomAt, r.stateAt = !s.Calm, now.Add(s.Room), now
	}
}

// Limited reports whether an organisation has a quota.
func (c *Credits) Limited(organisation string) bool { return c.records[organisation] != nil }

// Take reports whether an amount may be used now, and counts it.
func (c *Credits) Take(now time.Time, organisation string, amount float64) bool {
	r := c.records[organisation]
	if r == nil {
		return true
	}
	c.refill(now, r)
	switch {
	case !r.quota.admits(amount):
		return false
	case r.credit() >= amount:
		r.use(amount)
	case c.hub.lost(now):
		// A debt of one request, unless the quota was short when the hub was lost: its next
		// requests wait until the share has repaid it. A VM that starts does not know that;
		// what all of them owe if they start at once during a flood is within the capacity.
		most := math.Inf(1)
		if r.stateAt.IsZero() {
			most = r.quota.Capacity / float64(c.fleet.size())
		}
		if r.own.saved < amount && (r.exhausted || r.own.saved < 0 || amount > most) {
			return false
		}
		r.own.saved -= amount
	case r.advanced()+amount <= c.mostAdvance(now, r)+r.credit():
		missing := amount - r.credit()
		r.use(r.credit())
		r.advance += missing
		r.report.Owed += missing
	default:
		return false
	}
	return true
}

// mostAdvance returns what may be used without a grant and an answer of the hub. It grows by the
// VM's own share while the hub is silent: a hub that goes on deducts it, and without one it is
// the VM's part. It is no more than that if the quota is not calm, as it is at first with a new
// hub, and begins later, since a hub that answers in time grants more.
func (c *Credits) mostAdvance(now time.Time, r *creditRecord) float64 {
	most, silence := 0.0, time.Duration(0)
	if !c.unansweredAt.IsZero() {
		silence = max(now.Sub(c.unansweredAt), 0)
	}
	if r.exhausted || r.stateAt.IsZero() {
		silence = max(silence-silentTime, 0)
	} else {
		most = advanceShare * r.quota.Capacity / float64(c.fleet.size())
	}
	return most + c.share(r)*silence.Seconds()
}

// Refund returns the amount of a request that was not run.
func (c *Credits) Refund(now time.Time, organisation string, amount float64) {
	r := c.records[organisation]
	if r == nil {
		return
	}
	c.refill(now, r)
	if c.hub.lost(now) {
		r.own.saved += amount
		return
	}
	r.report.Used -= amount
	r.credits = append(r.credits, expiringAmount{amount, now.Add(grantTTL)})
}

// SetDemand sets the amount of the request that is next and that of all that wait.
func (c *Credits) SetDemand(organisation string, first, wanted float64) {
	if r := c.records[organisation]; r != nil {
		r.report.First, r.report.Wanted = first, wanted
	}
}

// RoomAt returns the time from which on an amount can be used, zero if it is not known.
func (c *Credits) RoomAt(now time.Time, organisation string, amount float64) time.Time {
	r := c.records[organisation]
	switch {
	case r == nil || r.quota.PerSecond <= 0:
		return time.Time{}
	case !r.quota.admits(amount):
		return now.Add(maxRoom)
	case c.hub.lost(now) && now.Sub(laterTime(c.hub.until, c.startedAt)) < hubTTL:
		return time.Time{} // another hub may be about to answer
	case c.hub.lost(now):
		c.refill(now, r)
		missing := max(amount-r.own.saved, 0) / c.share(r)
		return now.Add(time.Duration(min(missing, maxRoom.Seconds()) * float64(time.Second)))
	case now.Sub(r.stateAt) < stateTTL:
		return r.roomAt
	}
	return time.Time{}
}

// Share returns this VM's even share of an organisation's quota in amounts a second.
func (c *Credits) Share(organisation string) float64 {
	if r := c.records[organisation]; r != nil {
		return c.share(r)
	}
	return 0
}

// Credit returns what can be used without the hub.
func (c *Credits) Credit(now time.Time, organisation string) float64 {
	r := c.records[organisation]
	if r == nil {
		return 0
	}
	c.refill(now, r)
	return r.credit() + r.own.saved
}

// StateAge returns the time since the hub's last state of a quota, false if there is none.
func (c *Credits) StateAge(now time.Time, organisation string) (time.Duration, bool) {
	r := c.records[organisation]
	if r == nil || r.stateAt.IsZero() {
		return 0, false
	}
	return now.Sub(r.stateAt), true
}

// Reports returns what is to be reported to the hub and clears it.
func (c *Credits) Reports(now time.Time) []QuotaReport {
	var list []QuotaReport
	for _, r := range c.records {
		c.refill(now, r)
		if r.report.changes() {
			list = append(list, r.report)
		}
		r.report.Used, r.report.Returned, r.report.Owed = 0, 0, 0
		if r.advance > 0 {
			r.advances = append(r.advances, expiringAmount{r.advance, now})
			r.advance = 0
		}
	}
	if len(list) > 0 && c.unansweredAt.IsZero() {
		c.unansweredAt = now
	}
	return list
}

// share returns the rate that the VM uses without a hub.
func (c *Credits) share(r *creditRecord) float64 { return r.quota.PerSecond / float64(c.fleet.size()) }

// refill returns the credits that have expired, and adds to the own share since the last
// call while there is no hub.
func (c *Credits) refill(now time.Time, r *creditRecord) {
	r.returnCredits(func(e expiringAmount) bool { return !now.Before(e.until) })
	if !c.hub.lost(now) {
		r.own.savedAt = now
		return
	}
	if c.hub.until.After(r.own.savedAt) {
		r.own.savedAt = c.hub.until
	}
	r.own.refill(now, c.share(r), r.quota.Capacity/float64(c.fleet.size()))
}
