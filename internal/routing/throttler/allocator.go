package throttler

import (
	"maps"
	"slices"
	"time"
)

const (
	// burstRequests and burstTime are the requests that the hub grants at once after a time
	// without any: burstRequests, and what the limit allows in burstTime.
	burstRequests = 1
	burstTime     = 500 * time.Millisecond
	// wantedTTL is how long after a report its wanted requests are granted.
	wantedTTL = 500 * time.Millisecond
)

// Allocator divides the limits of upstreams and the quotas of organisations among the VMs of
// a hub. VMs are identified by keys of type K, for example those of their connections. It is
// not safe for concurrent use.
type Allocator[K comparable] struct {
	fleet       Fleet
	vms         map[K]*allocatedVM
	allocations map[Process]*allocation[K]
	endings     endings
	changes     map[Process]Statement
	quotas      map[string]*quotaAllocation[K]
}

// allocatedVM is a VM of the hub.
type allocatedVM struct {
	node string
	// alone is true if the VM uses its own share of the limits, as it states or since
	// reports are missing.
	alone      bool
	reportedAt time.Time
}

// allocation is the division of one limit.
type allocation[K comparable] struct {
	limit *limit
	// senders are the VMs that have a share of the limit without a hub.
	senders []string
	// share is the part of the limit that is left for the VMs of the hub.
	share float64
	// bucket holds the requests that can be granted.
	bucket
	// wants holds the demand of VMs, the one to be granted next first.
	wants []want[K]
}

type want[K comparable] struct {
	vm       K
	requests int
	until    time.Time
}

// NewAllocator returns an Allocator without VMs and limits.
func NewAllocator[K comparable]() *Allocator[K] {
	return &Allocator[K]{
		vms:         make(map[K]*allocatedVM),
		allocations: make(map[Process]*allocation[K]),
		endings:     make(endings),
		changes:     make(map[Process]Statement),
		quotas:      make(map[string]*quotaAllocation[K]),
	}
}

// Empty reports whether no process has a limit and no organisation a quota.
func (a *Allocator[K]) Empty() bool { return len(a.allocations)+len(a.quotas) == 0 }

// SetFleet sets the VMs that share the limits, with a hub or without.
func (a *Allocator[K]) SetFleet(now time.Time, f Fleet) {
	if f.Equal(a.fleet) {
		return
	}
	a.fleet = f
	for p, al := range a.allocations {
		al.senders = a.fleet.senders(p, al.perSecond())
	}
	a.updateShares(now)
}

// AddVM records a report of a VM with the name of its node, and whether the VM uses its own
// share of the limits.
func (a *Allocator[K]) AddVM(now time.Time, vm K, node string, alone bool) {
	v := a.vms[vm]
	if v != nil && v.node == node && v.alone == alone {
		v.reportedAt = now
		return
	}
	a.vms[vm] = &allocatedVM{node: node, alone: alone, reportedAt: now}
	a.updateShares(now)
}

// expireVMs leaves their own shares to the VMs that send no reports any more.
func (a *Allocator[K]) expireVMs(now time.Time) {
	changed := false
	for _, v := range a.vms {
		if !v.alone && now.Sub(v.reportedAt) >= hubTTL {
			v.alone, changed = true, true
		}
	}
	if changed {
		a.updateShares(now)
	}
}

// RemoveVM removes a VM, which uses its own share from now on.
func (a *Allocator[K]) RemoveVM(now time.Time, vm K) {
	if _, known := a.vms[vm]; !known {
		return
	}
	delete(a.vms, vm)
	for _, al := range a.allocations {
		al.wants = slices.DeleteFunc(al.wants, func(w want[K]) bool { return w.vm == vm })
	}
	for _, q := range a.quotas {
		q.removeVM(now, vm)
	}
	a.updateShares(now)
}

func (a *Allocator[K]) updateShares(now time.Time) {
	connected := make(map[string]bool, len(a.vms))
	for _, v := range a.vms {
		if !v.alone {
			connected[v.node] = true
		}
	}
	for _, al := range a.allocations {
		al.refill(now)
		al.share = connectedShare(al.senders, connected)
	}
	share := connectedShare(a.fleet.nodes, connected)
	for _, q := range a.quotas {
		q.setShare(now, share)
	}
}

// Record applies the report of a VM.
func (a *Allocator[K]) Record(now time.Time, vm K, r Report) {
	al := a.allocations[r.Process]
	if al == nil {
		al = &allocation[K]{bucket: bucket{savedAt: now}}
	} else {
		al.refill(now)
	}
	before := al.limit
	al.limit = a.endings.apply(r.Process, before, r.Statement)
	switch {
	case al.limit == nil:
		delete(a.allocations, r.Process)
		if before != nil {
			a.changes[r.Process] = r.Statement
		}
		return
	case before == nil:
		dropOldest(a.allocations, func(al *allocation[K]) time.Time { return al.limit.statedAt })
		a.allocations[r.Process] = al
	}
	if before == nil || before.perSecond != al.limit.perSecond {
		a.changes[r.Process] = al.limit.statement()
		al.senders = a.fleet.senders(r.Process, al.perSecond())
		a.updateShares(now)
	}
	al.setWanted(now, vm, r.Wanted)
}

// setWanted replaces the demand of a VM, which keeps its place among the other VMs.
func (al *allocation[K]) setWanted(now time.Time, vm K, requests int) {
	if requests <= 0 {
		return
	}
	w := want[K]{vm, requests, now.Add(wantedTTL)}
	if i := slices.IndexFunc(al.wants, func(w want[K]) bool { return w.vm == vm }); i >= 0 {
		al.wants[i] = w
		return
	}
	al.wants = append(al.wants, w)
}

func (al *allocation[K]) perSecond() float64 { return max(al.limit.perSecond, minPerSecond) }

// rate returns the rate of grants.
func (al *allocation[K]) rate() float64 { return al.share * al.perSecond() }

// refill adds the requests that the limit has allowed since the last call.
func (al *allocation[K]) refill(now time.Time) {
	al.bucket.refill(now, al.rate(), burstRequests+burstTime.Seconds()*al.rate())
}

// VMGrant is a grant to one VM.
type VMGrant[K comparable] struct {
	VM K
	Grant
}

// Advance returns the grants that are due, and the time of the next one, zero if none is
// wanted.
func (a *Allocator[K]) Advance(now time.Time) (grants []VMGrant[K], next time.Time) {
	a.expireVMs(now)
	for p, al := range a.allocations {
		al.refill(now)
		al.wants = slices.DeleteFunc(al.wants, func(w want[K]) bool { return !now.Before(w.until) })
		for al.saved >= 1 && len(al.wants) > 0 {
			// Few at a time, so that VMs with little demand get some as well.
			w := al.wants[0]
			n := min(w.requests, max(int(al.saved)/len(al.wants), 1))
			grants = append(grants, VMGrant[K]{w.vm, Grant{p, n}})
			al.saved -= float64(n)
			al.wants = al.wants[1:]
			if w.requests -= n; w.requests > 0 {
				al.wants = append(al.wants, w)
			}
		}
		if len(al.wants) == 0 || al.rate() <= 0 {
			continue
		}
		at := now.Add(time.Duration((1 - al.saved) / al.rate() * float64(time.Second)))
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return grants, next
}

// HasChanges reports whether a limit has changed since the last DrainChanges.
func (a *Allocator[K]) HasChanges() bool { return len(a.changes) > 0 }

// DrainChanges returns the limits that have changed since the last call, and those that
// have ended.
func (a *Allocator[K]) DrainChanges() []Report {
	list := make([]Report, 0, len(a.changes))
	for p, s := range a.changes {
		list = append(list, Report{Process: p, Statement: s})
	}
	clear(a.changes)
	return list
}

// Limits returns all limits.
func (a *Allocator[K]) Limits() []Report {
	list := make([]Report, 0, len(a.allocations))
	for p := range maps.Keys(a.allocations) {
		list = append(list, Report{Process: p, Statement: a.allocations[p].limit.statement()})
	}
	return list
}
