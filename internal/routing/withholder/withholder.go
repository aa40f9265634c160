// Package withholder decides which upstreams get no requests because of what
// they have stated in their own responses: that they are leaving, or that they
// want no requests for some time. It does no I/O and reads no clock.
package withholder

import (
	"time"

	"gentianstep.example/gentianstep/internal/membership/registrar"
)

// maxRecords bounds the number of incarnations with a recorded notice of each kind.
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
	cfg        Config
	departures map[recordKey]*departure
	holdOffs   map[recordKey]*holdOff
}

// New returns a Withholder without notices.
func New(cfg Config) *Withholder {
	return &Withholder{cfg: cfg, departures: make(map[recordKey]*departure), holdOffs: make(map[recordKey]*holdOff)}
}

// SetConfig replaces the bounds of further notices.
func (w *Withholder) SetConfig(cfg Config) { w.cfg = cfg }

// Empty reports whether no notice is recorded, so that every upstream is open.
func (w *Withholder) Empty() bool { return len(w.departures) == 0 && len(w.holdOffs) == 0 }

// Record records the notice in a response to a request to u and returns the
// resulting changes.
func (w *Withholder) Record(now time.Time, u *registrar.Upstream, n Notice) []Change {
	sender := senderOf(u, n)
	var changes []Change
	if n.Leaving {
		changes = w.recordLeaving(now, sender)
	}
	if n.HoldOff > 0 {
		return append(changes, w.recordHoldOff(now, sender, n.HoldOff)...)
	}
	if h := w.holdOffs[sender.key()]; h != nil && n.Accepted {
		h.recordAccepted(now, n.SentAt)
	}
	return changes
}

// Access returns the access to u at a time.
func (w *Withholder) Access(now time.Time, u *registrar.Upstream) Access {
	access := Open
	if h := w.holdOffOf(u); h != nil {
		access = h.access(now)
	}
	drainUntil, _ := w.leavingUntil(now, u)
	switch {
	case drainUntil.IsZero():
		return access
	case !now.Before(drainUntil) || access == Held:
		return Closed
	}
	return LastResort
}

// HeldUntil returns the end of the hold-off of u, or the zero time if it has
// requested none.
func (w *Withholder) HeldUntil(u *registrar.Upstream) time.Time {
	h := w.holdOffOf(u)
	if h == nil {
		return time.Time{}
	}
	return h.until
}

// DrainUntil returns the end of the drain period of u, or the zero time if it is
// not leaving.
func (w *Withholder) DrainUntil(now time.Time, u *registrar.Upstream) time.Time {
	until, _ := w.leavingUntil(now, u)
	return until
}

// Admit reports whether a request may be sent to u now, and counts it. A last
// resort is a request that no other upstream can serve.
func (w *Withholder) Admit(now time.Time, u *registrar.Upstream, lastResort bool) bool {
	switch w.Access(now, u) {
	case Open:
		if h := w.holdOffOf(u); h != nil {
			h.recordSent(now)
		}
		return true
	case LastResort:
		return lastResort
	}
	return false
}

// AdmitProbe reports whether a request that asks whether u is there may be sent
// now, and counts it. A leaving upstream may get it, one in a hold-off may not.
func (w *Withholder) AdmitProbe(now time.Time, u *registrar.Upstream) bool {
	if !w.DrainUntil(now, u).IsZero() {
		return !now.Before(w.HeldUntil(u))
	}
	return w.Admit(now, u, false)
}

// dated is a record of a notice.
type dated interface{ recordedAt() time.Time }

// add adds a record. It replaces that of an earlier incarnation, and the oldest one if
// there are too many.
func add[R dated](records map[recordKey]R, key recordKey, r R) {
	if _, replaced := records[key]; !replaced && len(records) >= maxRecords {
		var oldest recordKey
		var oldestAt time.Time
		for k, other := range records {
			if at := other.recordedAt(); oldestAt.IsZero() || at.Before(oldestAt) {
				oldest, oldestAt = k, at
			}
		}
		delete(records, oldest)
	}
	records[key] = r
}
