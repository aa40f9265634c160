package throttler

import "time"

const (
	// maxRecords bounds the number of processes with a limit.
	maxRecords = 4096
	// minPerSecond is the rate at which a process is asked whether its limit still holds.
	minPerSecond = 0.25
	// grantTTL is the time after the report that a grant answers for which it can be used.
	// What the hub grants in that time and a window of limits may be sent within the window.
	grantTTL = 1500 * time.Millisecond
	// hubTTL is the time after a report that the hub has answered until which a VM leaves
	// its own share of the limits to the hub, and the time after which the hub leaves it to
	// a VM that sends no reports.
	hubTTL = 1500 * time.Millisecond
	// maxWanted bounds the demand for one process in a report.
	maxWanted = 1024
)

// Throttler keeps the requests of one VM within the limits that upstreams have stated. The
// hub grants requests to the VMs with demand. A VM without a hub uses a fixed
// share of each limit. It is not safe for concurrent use.
//
// Load: hundreds of VMs in front of an upstream that takes four requests a second. Limits
// that each VM keeps for itself add up to hundreds of times as many.
type Throttler struct {
	records map[Process]*record
	endings endings
	fleet   Fleet
	// hub is the time for which the hub's grants are used.
	hub contact
	// unreported holds the latest statement of each process that is to be reported.
	unreported map[Process]Statement
}

// record is what is known of a process with a limit.
type record struct {
	limit  *limit
	grants []expiringGrant
	// share is the rate of requests without a hub, and saved the part of a request that
	// has come together at savedAt.
	share   float64
	saved   float64
	savedAt time.Time
	// wanted is the number of requests since the last report that could not be sent.
	wanted int
}

// expiringGrant is a number of requests that the hub has granted.
type expiringGrant struct {
	requests int
	until    time.Time
}

// Report is what a VM reports of a process to the hub.
type Report struct {
	Process
	Statement
	// Wanted is the number of requests that the VM would send to the process now.
	Wanted int
}

// Grant is a number of requests that the hub lets a VM send to a process.
type Grant struct {
	Process
	Requests int
}

// New returns a Throttler without limits.
func New() *Throttler {
	return &Throttler{records: make(map[Process]*record), endings: make(endings), unreported: make(map[Process]Statement)}
}

// Empty reports whether no process has a limit.
func (t *Throttler) Empty() bool { return len(t.records) == 0 }

// SetFleet sets the VMs that share the limits.
func (t *Throttler) SetFleet(now time.Time, f Fleet) {
	if f.Equal(t.fleet) {
		return
	}
	for _, r := range t.records {
		t.refill(now, r)
	}
	t.fleet = f
	for p, r := range t.records {
		r.share = t.fleet.share(p, r.perSecond())
	}
}

// EvenShare returns the rate of requests that each VM may send to a process if all want to
// send some, 0 if it has no limit.
func (t *Throttler) EvenShare(p Process) float64 {
	r := t.records[p]
	if r == nil {
		return 0
	}
	return r.perSecond() / float64(t.fleet.size())
}

// ConfirmHub records that the hub has answered a report that was sent at a time, which says
// more than the arrival of its answer on links that hold messages back.
func (t *Throttler) ConfirmHub(now, reportedAt time.Time) {
	for _, r := range t.records {
		t.refill(now, r)
	}
	t.hub.confirm(reportedAt)
}

// Alone reports whether this VM uses its own share of the limits.
func (t *Throttler) Alone(now time.Time) bool { return t.hub.lost(now) }

// perSecond returns the rate of requests that all VMs may send together.
func (r *record) perSecond() float64 { return max(r.limit.perSecond, minPerSecond) }

// Limit returns the limit of a process in requests a second, and when the latest response
// with it was received; false if it has none.
func (t *Throttler) Limit(p Process) (perSecond float64, statedAt time.Time, ok bool) {
	r := t.records[p]
	if r == nil {
		return 0, time.Time{}, false
	}
	return r.limit.perSecond, r.limit.statedAt, true
}

// Record applies what a response that this VM has received says about the limit of a
// process, and reports whether the limit has changed.
func (t *Throttler) Record(now time.Time, p Process, s Statement) bool {
	if !s.Stated || !s.Limited && t.records[p] == nil {
		return false
	}
	changed := t.apply(now, p, s)
	if r := t.records[p]; r != nil {
		s = r.limit.statement()
	}
	t.unreported[p] = s
	return changed
}

// ApplyHub applies what the hub states about the limit of a process, and reports whether
// the limit has changed.
func (t *Throttler) ApplyHub(now time.Time, p Process, s Statement) bool {
	return t.apply(now, p, s)
}

func (t *Throttler) apply(now time.Time, p Process, s Statement) bool {
	r := t.records[p]
	if r == nil {
		r = &record{savedAt: now}
	}
	before := r.limit
	r.limit = t.endings.apply(p, before, s)
	switch {
	case r.limit == nil:
		delete(t.records, p)
		return before != nil
	case before == nil:
		dropOldest(t.records, func(r *record) time.Time { return r.limit.statedAt })
		t.records[p] = r
	case before.perSecond == r.limit.perSecond:
		return false
	}
	t.refill(now, r)
	r.share = t.fleet.share(p, r.perSecond())
	return true
}

// dropOldest removes the process that was stated first if there is no room for another.
func dropOldest[R any](records map[Process]R, statedAt func(R) time.Time) {
	if len(records) < maxRecords {
		return
	}
	var oldest Process
	var oldestAt time.Time
	for p, r := range records {
		if at := statedAt(r); oldestAt.IsZero() || at.Before(oldestAt) {
			oldest, oldestAt = p, at
		}
	}
	delete(records, oldest)
}

// AddGrant adds a grant of the hub. reportedAt is when the report that it answers was sent,
// which bounds its age on links that hold messages back.
func (t *Throttler) AddGrant(now time.Time, g Grant, reportedAt time.Time) {
	r := t.records[g.Process]
	until := reportedAt.Add(grantTTL)
	if r == nil || !now.Before(until) {
		return
	}
	r.grants = append(r.grants, expiringGrant{g.Requests, until})
}

// MaySend reports whether a request may be sent to a process now.
func (t *Throttler) MaySend(now time.Time, p Process) bool {
	r := t.records[p]
	if r == nil {
		return true
	}
	t.refill(now, r)
	return len(r.grants) > 0 || r.saved >= 1
}

// Want counts a request that could not be sent to a process.
func (t *Throttler) Want(p Process) {
	if r := t.records[p]; r != nil {
		r.wanted = min(r.wanted+1, maxWanted)
	}
}

// Take reports whether a request may be sent to a process now, and counts it.
func (t *Throttler) Take(now time.Time, p Process) bool {
	if !t.MaySend(now, p) {
		return false
	}
	r := t.records[p]
	switch {
	case r == nil:
	case len(r.grants) == 0:
		r.saved--
	case r.grants[0].requests > 1:
		r.grants[0].requests--
	default:
		r.grants = r.grants[1:]
	}
	return true
}

// refill drops the grants that have expired, and adds to the own share since the last call
// while there is no hub.
func (t *Throttler) refill(now time.Time, r *record) {
	for len(r.grants) > 0 && !now.Before(r.grants[0].until) {
		r.grants = r.grants[1:]
	}
	from := r.savedAt
	r.savedAt = now
	if !t.Alone(now) {
		r.saved = 0
		return
	}
	if t.hub.until.After(from) {
		from = t.hub.until
	}
	r.saved = min(r.saved+r.share*now.Sub(from).Seconds(), 1)
}

// Reports returns what is to be reported to the hub and clears it. all adds the limits of
// all processes, for another hub.
func (t *Throttler) Reports(all bool) []Report {
	var list []Report
	for p, r := range t.records {
		s, unreported := t.unreported[p]
		if !unreported {
			s = r.limit.statement()
		}
		if all || unreported || r.wanted > 0 {
			list = append(list, Report{p, s, r.wanted})
		}
		r.wanted = 0
		delete(t.unreported, p)
	}
	for p, s := range t.unreported {
		list = append(list, Report{p, s, 0})
	}
	clear(t.unreported)
	return list
}
