package throttler

import (
	"math"
	"slices"
	"time"
)

const (
	// standingTime is the time for which the credit of a VM lasts at its recent use. It
	// covers a report and the answer of a hub that serves many VMs.
	standingTime = 500 * time.Millisecond
	// calmShare is the share of the capacity from which on a bucket is calm.
	calmShare = 0.5
	// initialShare is the share of its part of the reserve that a VM adds to the bucket when
	// it connects. Another hub may have granted the capacity of late; without it,
	// organisations that stay below their quotas are refused while the bucket of a new hub
	// fills.
	initialShare = 0.25
	// initialInterval is the time after which a VM may add that share again. Without it,
	// connections that end and begin several times a second add more than the rate.
	initialInterval = 10 * time.Second
	// grantTimeout is the time after its last grant from which on a VM has no credit. It is
	// longer than grantTTL and the way of a late report; credit that no report accounts for
	// by then has not arrived, or its quota was removed at the VM meanwhile.
	grantTimeout = 2 * grantTTL
	// roomStep is the change of the room that VMs are told of.
	roomStep = 50 * time.Millisecond
)

// quotaAllocation is the division of one quota.
type quotaAllocation[K comparable] struct {
	quota Quota
	// share is the part of the quota that is left for the VMs of the hub.
	share float64
	bucket
	// initial holds what VMs that connect may add to the bucket.
	initial bucket
	users   map[K]*quotaUser
	// outstanding is the sum of that of the users.
	outstanding float64
	// order lists the VMs whose requests wait, the one to be granted next first.
	order []K
	// lapsing holds credit of VMs that have left the hub. They may still use it.
	lapsing []expiringAmount
	// published is the state that VMs were told last.
	published QuotaState
}

// VMQuotaGrant is a grant to one VM.
type VMQuotaGrant[K comparable] struct {
	VM K
	QuotaGrant
}

// SetQuotas replaces the quotas.
func (a *Allocator[K]) SetQuotas(now time.Time, quotas map[string]Quota) {
	changed := false
	for name := range a.quotas {
		if _, ok := quotas[name]; !ok {
			delete(a.quotas, name)
		}
	}
	for name, quota := range quotas {
		q := a.quotas[name]
		switch {
		case q == nil:
			q = &quotaAllocation[K]{quota: quota, bucket: bucket{savedAt: now}, initial: bucket{initialShare * quota.Reserve, now}, users: make(map[K]*quotaUser)}
			q.published.Organisation = name
			a.quotas[name], changed = q, true
		case q.quota != quota:
			q.refill(now)
			q.quota = quota
			q.refill(now)
		}
	}
	if changed {
		a.updateShares(now)
	}
}

// RecordQuota applies the report of a VM. Organisations without a quota are left out.
func (a *Allocator[K]) RecordQuota(now time.Time, vm K, r QuotaReport) {
	q := a.quotas[r.Organisation]
	if q == nil || a.vms[vm] == nil {
		return
	}
	q.refill(now)
	u := q.users[vm]
	if u == nil {
		u = &quotaUser{usedAt: now}
		q.users[vm] = u
	}
	u.recordUse(now, max(r.Used+r.Owed, 0))
	q.setOutstanding(u, max(u.outstanding-r.Used-r.Returned, 0))
	if r.Used < 0 {
		u.grantedAt = now
	}
	q.saved = min(q.saved+r.Returned, q.capacity()) - r.Owed
	u.first, u.wanted, u.wantedUntil = r.First, r.Wanted, now.Add(wantedTTL)
	switch i := slices.Index(q.order, vm); {
	case r.Wanted > 0 && i < 0:
		q.order = append(q.order, vm)
	case r.Wanted <= 0 && i >= 0:
		q.order = slices.Delete(q.order, i, i+1)
	}
}

// capacity returns what the bucket may hold beside the credit of the VMs. It is not negative:
// credit has been deducted when it was granted, and would be deducted again.
func (q *quotaAllocation[K]) capacity() float64 {
	outstanding := q.outstanding
	for _, l := range q.lapsing {
		outstanding += l.amount
	}
	return max(q.share*q.quota.Capacity-outstanding, 0)
}

func (q *quotaAllocation[K]) refill(now time.Time) {
	q.lapsing = slices.DeleteFunc(q.lapsing, func(l expiringAmount) bool { return !now.Before(l.until) })
	q.bucket.refill(now, q.share*q.quota.PerSecond, q.capacity())
}

// setShare replaces the part of the quota that is left for the VMs of the hub.
func (q *quotaAllocation[K]) setShare(now time.Time, share float64) {
	q.refill(now)
	most := initialShare * q.quota.Reserve
	q.initial.refill(now, most/initialInterval.Seconds(), most)
	added := min(max(share-q.share, 0)*most, q.initial.saved)
	q.initial.saved -= added
	q.saved += added
	q.share = share
	q.refill(now)
}

// removeVM removes a VM, which may use its credit until that expires.
func (q *quotaAllocation[K]) removeVM(now time.Time, vm K) {
	u := q.users[vm]
	if u == nil {
		return
	}
	if u.outstanding > 0 {
		q.lapsing = append(q.lapsing, expiringAmount{u.outstanding, now.Add(grantTTL)})
	}
	q.setOutstanding(u, 0)
	delete(q.users, vm)
	q.order = slices.DeleteFunc(q.order, func(other K) bool { return other == vm })
}

func (q *quotaAllocation[K]) setOutstanding(u *quotaUser, amount float64) {
	q.outstanding += amount - u.outstanding
	u.outstanding = amount
}

// expireGrants ends the credit of VMs that have got none for long.
func (q *quotaAllocation[K]) expireGrants(now time.Time) {
	for _, u := range q.users {
		if u.outstanding > 0 && now.Sub(u.grantedAt) >= grantTimeout {
			q.setOutstanding(u, 0)
		}
	}
}

// grant moves an amount from the bucket to a VM.
func (q *quotaAllocation[K]) grant(now time.Time, vm K, amount float64) VMQuotaGrant[K] {
	u := q.users[vm]
	q.saved -= amount
	q.setOutstanding(u, u.outstanding+amount)
	u.grantedAt = now
	return VMQuotaGrant[K]{vm, QuotaGrant{q.published.Organisation, amount}}
}

// advance returns the grants that are due: what requests that wait need, the VMs in turn,
// then credit in proportion to recent use while the bucket is calm.
func (q *quotaAllocation[K]) advance(now time.Time) []VMQuotaGrant[K] {
	q.expireGrants(now)
	q.refill(now)
	var grants []VMQuotaGrant[K]
	for len(q.order) > 0 {
		vm := q.order[0]
		u := q.users[vm]
		if u.wanted <= 0 || !now.Before(u.wantedUntil) {
			u.first, u.wanted = 0, 0
			q.order = q.order[1:]
			continue
		}
		// One request at a time, so that VMs with few requests get their turn. A request
		// that exceeds the capacity beside the credit of others leaves a debt if the bucket
		// is full, or at least calm: the others may always hold some credit.
		amount := max(u.first, min(u.wanted, math.Floor(q.saved/float64(len(q.order)))))
		if q.saved < min(u.first, max(q.capacity(), calmShare*q.share*q.quota.Capacity)) || amount < 1 {
			break
		}
		grants = append(grants, q.grant(now, vm, amount))
		u.wanted -= amount
		u.first = min(u.first, u.wanted)
		q.order = q.order[1:]
		if u.wanted > 0 {
			q.order = append(q.order, vm)
		}
	}
	if len(q.order) == 0 {
		grants = append(grants, q.standingGrants(now)...)
	}
	return grants
}

// standingGrants returns credit for the VMs that have used the quota of late. It leaves the
// bucket calm.
func (q *quotaAllocation[K]) standingGrants(now time.Time) []VMQuotaGrant[K] {
	var grants []VMQuotaGrant[K]
	for vm, u := range q.users {
		u.recordUse(now, 0)
		target := u.perSecond * standingTime.Seconds()
		missing := math.Floor(target - u.outstanding)
		if missing < max(target/2, 1) || q.saved-missing < calmShare*q.share*q.quota.Capacity {
			continue
		}
		grants = append(grants, q.grant(now, vm, missing))
	}
	return grants
}

// state returns what VMs are told.
func (q *quotaAllocation[K]) state() QuotaState {
	s := QuotaState{Organisation: q.published.Organisation, Calm: q.saved >= calmShare*q.share*q.quota.Capacity}
	missing := -q.saved
	for _, vm := range q.order {
		missing += q.users[vm].wanted
	}
	if rate := q.share * q.quota.PerSecond; missing > 0 && rate > 0 {
		s.Room = time.Duration(min(missing/rate, maxRoom.Seconds()) * float64(time.Second))
	}
	return s
}

// maxRoom bounds the time until a quota has room.
const maxRoom = time.Minute

// AdvanceQuotas returns the grants that are due, and whether further requests wait for some.
func (a *Allocator[K]) AdvanceQuotas(now time.Time) (grants []VMQuotaGrant[K], waiting bool) {
	a.expireVMs(now)
	for _, q := range a.quotas {
		grants = append(grants, q.advance(now)...)
		waiting = waiting || len(q.order) > 0
	}
	return grants, waiting
}

// DrainQuotaStates returns the states of the quotas that have changed since the last call.
func (a *Allocator[K]) DrainQuotaStates() []QuotaState {
	var list []QuotaState
	for _, q := range a.quotas {
		s := q.state()
		if s.Calm == q.published.Calm && (s.Room-q.published.Room).Abs() < roomStep {
			continue
		}
		q.published = s
		list = append(list, s)
	}
	return list
}

// HasQuotaChanges reports whether DrainQuotaStates would return any.
func (a *Allocator[K]) HasQuotaChanges() bool {
	for _, q := range a.quotas {
		s := q.state()
		if s.Calm != q.published.Calm || (s.Room-q.published.Room).Abs() >= roomStep {
			return true
		}
	}
	return false
}

// QuotaStates returns the states of all quotas that were published last.
func (a *Allocator[K]) QuotaStates() []QuotaState {
	list := make([]QuotaState, 0, len(a.quotas))
	for _, q := range a.quotas {
		list = append(list, q.published)
	}
	return list
}
