// Package withholder decides which upstreams get no requests because of what
// they have stated in their own responses: that they are leaving, or that they
// want no requests for some time. It does no I/O and reads no clock.
package withholder

import (
	"time"

	"gentianstep.example/gentianstep/internal/membership/registrar"
)

// maxRecords bounds the number of incarnations with a recorded notice.
const maxRecords = 4096

// Config holds the bounds of a Withholder.
type Config struct {
	// Drain is how long after its first notice a leaving upstream may get requests
	// that no other upstream can serve.
	Drain time.Duration
	// MaxHoldOff is the longest hold-off that an upstream can request.
	MaxHoldOff time.Duration
}

// Access says whether an upstream may get a request.
type Access int

// Values of Access.
const (
	// Open admits any request.
	Open Access = iota
	// LastResort admits requests that no other upstream can serve.
	LastResort
	// Paced admits no request until one that was sent after the end of the
	// hold-off has been accepted.
	Paced
	// Held admits no request until the end of the hold-off.
	Held
	// Closed admits no request.
	Closed
)

// Withholder holds the notices of upstreams by incarnation. It is not safe for
// concurrent use.
type Withholder struct {
	cfg     Config
	records map[recordKey]*record
}

// New returns a Withholder without notices.
func New(cfg Config) *Withholder {
	return &Withholder{cfg: cfg, records: make(map[recordKey]*record)}
}

// SetConfig replaces the bounds of further notices.
func (w *Withholder) SetConfig(cfg Config) { w.cfg = cfg }

// Empty reports whether no notice is recorded, so that every upstream is open.
func (w *Withholder) Empty() bool { return len(w.records) == 0 }

// Record records the notice in a response to a request to u and returns the
// resulting changes.
func (w *Withholder) Record(now time.Time, u *registrar.Upstream, n Notice) []Change {
	incarnation := incarnationOf(u, n)
	r := w.records[incarnation.key()]
	if r != nil && r.endedBy(incarnation) {
		r = nil
	}
	if !n.Leaving && n.HoldOff <= 0 {
		if r != nil && n.Accepted {
			r.recordAccepted(now)
		}
		return nil
	}
	if r == nil {
		r = w.create(incarnation)
	}
	r.toldAt = now
	var changes []Change
	if n.Leaving && r.drainUntil.IsZero() {
		r.drainUntil = now.Add(w.cfg.Drain)
		changes = append(changes, Change{LeavingTold, r.incarnation, r.drainUntil})
	}
	holdOff := min(n.HoldOff, w.cfg.MaxHoldOff)
	if r.holdOff(now.Add(holdOff)) {
		changes = append(changes, Change{HeldOff, r.incarnation, r.heldUntil})
		if holdOff < n.HoldOff {
			changes = append(changes, Change{HoldOffCapped, r.incarnation, r.heldUntil})
		}
	}
	return changes
}

// Access returns the access to u at a time.
func (w *Withholder) Access(now time.Time, u *registrar.Upstream) Access {
	r := w.find(u)
	if r == nil {
		return Open
	}
	return r.access(now)
}

// HeldUntil returns the end of the hold-off of u, or the zero time if it has
// requested none.
func (w *Withholder) HeldUntil(u *registrar.Upstream) time.Time {
	r := w.find(u)
	if r == nil {
		return time.Time{}
	}
	return r.heldUntil
}

// DrainUntil returns the end of the drain period of u, or the zero time if it is
// not leaving.
func (w *Withholder) DrainUntil(u *registrar.Upstream) time.Time {
	r := w.find(u)
	if r == nil {
		return time.Time{}
	}
	return r.drainUntil
}

// Admit reports whether a request may be sent to u now, and counts it. A last
// resort is a request that no other upstream can serve.
func (w *Withholder) Admit(now time.Time, u *registrar.Upstream, lastResort bool) bool {
	r := w.find(u)
	if r == nil {
		return true
	}
	switch r.access(now) {
	case Open:
		r.recordSent(now)
		return true
	case LastResort:
		return lastResort
	}
	return false
}

// AdmitProbe reports whether a request that asks whether u is there may be sent
// now, and counts it. A leaving upstream may get it, one in a hold-off may not.
func (w *Withholder) AdmitProbe(now time.Time, u *registrar.Upstream) bool {
	r := w.find(u)
	if r == nil {
		return true
	}
	if !r.drainUntil.IsZero() {
		return !now.Before(r.heldUntil)
	}
	return w.Admit(now, u, false)
}

// find returns the record that applies to u, or nil if there is none.
func (w *Withholder) find(u *registrar.Upstream) *record {
	w.identify(u)
	r := w.records[recordKey{id: u.ID}]
	if r == nil || r.endedBy(Incarnation{ID: u.ID, Address: u.Address, StartedAt: u.StartedAt}) {
		return nil
	}
	if u.StartedAt.After(r.incarnation.StartedAt) {
		r.incarnation.StartedAt = u.StartedAt // the response did not state it, or an outdated entry did
	}
	return r
}

// identify applies the notice of an unknown process at the address of u to u if u had
// started by then.
func (w *Withholder) identify(u *registrar.Upstream) {
	unknown := w.records[recordKey{address: u.Address}]
	if unknown == nil || u.StartedAt.IsZero() || u.StartedAt.After(unknown.toldAt) {
		return
	}
	i := Incarnation{ID: u.ID, Address: u.Address, StartedAt: u.StartedAt}
	r := w.records[recordKey{id: u.ID}]
	if r == nil || r.endedBy(i) {
		r = w.create(i)
		r.toldAt = unknown.toldAt
	}
	if r.drainUntil.IsZero() {
		r.drainUntil = unknown.drainUntil
	}
}

// create adds a record. It replaces that of an earlier incarnation, and the
// record with the oldest notice if there are too many.
func (w *Withholder) create(i Incarnation) *record {
	if _, replaced := w.records[i.key()]; !replaced && len(w.records) >= maxRecords {
		w.evictOldest()
	}
	r := &record{incarnation: i}
	w.records[i.key()] = r
	return r
}

func (w *Withholder) evictOldest() {
	var oldest *record
	for _, r := range w.records {
		if oldest == nil || r.toldAt.Before(oldest.toldAt) {
			oldest = r
		}
	}
	delete(w.records, oldest.incarnation.key())
}
