package throttler

import "time"

// maxRecords bounds the number of processes with a limit.
const maxRecords = 4096

// Throttler holds the limits that upstreams have stated. It is not safe for concurrent use.
type Throttler struct {
	records map[Process]*record
}

// record is what is known of a process with a limit.
type record struct {
	limit *limit
}

// New returns a Throttler without limits.
func New() *Throttler { return &Throttler{records: make(map[Process]*record)} }

// Limit returns the limit of a process in requests a second, and when the latest response
// with it was received; false if it has none.
func (t *Throttler) Limit(p Process) (perSecond float64, statedAt time.Time, ok bool) {
	r := t.records[p]
	if r == nil {
		return 0, time.Time{}, false
	}
	return r.limit.perSecond, r.limit.statedAt, true
}

// Record applies what a response of a process says about its limit, and reports whether
// the limit has changed.
func (t *Throttler) Record(p Process, s Statement) bool {
	r := t.records[p]
	if r == nil {
		r = &record{}
	}
	before := r.limit
	r.limit = before.apply(s)
	switch {
	case r.limit == nil:
		delete(t.records, p)
		return before != nil
	case before == nil:
		t.add(p, r)
		return true
	}
	return before.perSecond != r.limit.perSecond
}

// add adds a record. It replaces the one that was stated first if there are too many.
func (t *Throttler) add(p Process, r *record) {
	if len(t.records) >= maxRecords {
		var oldest Process
		var oldestAt time.Time
		for other, o := range t.records {
			if at := o.limit.statedAt; oldestAt.IsZero() || at.Before(oldestAt) {
				oldest, oldestAt = other, at
			}
		}
		delete(t.records, oldest)
	}
	t.records[p] = r
}
