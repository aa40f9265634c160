package indexer

import "time"

// slotKey identifies a slot.
type slotKey struct {
	upstream string
	model    string
}

// upstream holds the state that the slots of an upstream share.
type upstream struct {
	incarnation uint64
	// slots lists the indices of the slots, one for each model.
	slots []uint16
}

// slot is the state of a model of an upstream. Records refer to it by epoch and gap
// count, so that all of them can be invalidated or demoted in constant time.
type slot struct {
	key            slotKey
	weightsVersion string
	// seq is the sequence number of the last update.
	seq uint64
	// epoch is incremented to invalidate all records.
	epoch uint32
	// gaps counts the gaps of the current epoch.
	gaps uint32
	// minGaps is the lowest gap count at which a record is unsure instead of
	// invalid.
	minGaps uint32
	// unsureUntil is the time from which unsure records are invalid.
	unsureUntil time.Time
}

// invalidate invalidates all records of the slot.
func (s *slot) invalidate() {
	s.epoch++
	s.gaps = 0
	s.minGaps = 0
	s.seq = 0
	s.unsureUntil = time.Time{}
}

// demote makes all records of the slot unsure until ttl has passed. A further gap
// before that deadline does not extend it.
func (s *slot) demote(now time.Time, ttl time.Duration) {
	if !now.Before(s.unsureUntil) {
		s.minGaps = s.gaps
		s.unsureUntil = now.Add(ttl)
	}
	s.gaps++
}

// recordState returns the validity of r at now.
func (s *slot) recordState(now time.Time, r *record) recordState {
	switch {
	case r.epoch != s.epoch:
		return recordInvalid
	case r.gaps == s.gaps:
		return recordConfirmed
	case r.gaps >= s.minGaps && now.Before(s.unsureUntil):
		return recordUnsure
	}
	return recordInvalid
}

// recordState is the validity of a record.
type recordState int

const (
	recordInvalid recordState = iota
	recordUnsure
	recordConfirmed
)
