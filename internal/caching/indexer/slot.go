package indexer

import "time"

// slotKey names a slot.
type slotKey struct {
	upstream string
	model    string
}

// upstream is what the slots of one upstream share.
type upstream struct {
	incarnation uint64
	slots       []uint16
}

// slot is the state of one model of one upstream.
type slot struct {
	key            slotKey
	weightsVersion string
	// seq is that of the last update.
	seq uint64
	// epoch rises with each void.
	epoch uint32
	// gaps counts the gaps of the present epoch.
	gaps uint32
	// floor is the least gap count at which an unsure record still counts.
	floor uint32
	// unsureUntil is the deadline after which unsure records are void.
	unsureUntil time.Time
}

// void ends the belief in every record of the slot at once.
func (s *slot) void() {
	s.epoch++
	s.gaps = 0
	s.floor = 0
	s.seq = 0
	s.unsureUntil = time.Time{}
}

// demote makes every record of the slot unsure until ttl has passed. A
// further gap does not extend the deadline of the one before it.
func (s *slot) demote(now time.Time, ttl time.Duration) {
	if !now.Before(s.unsureUntil) {
		s.floor = s.gaps
		s.unsureUntil = now.Add(ttl)
	}
	s.gaps++
}

// state returns what r is worth at now.
func (s *slot) state(now time.Time, r *record) state {
	switch {
	case r.epoch != s.epoch:
		return stateVoid
	case r.gap == s.gaps:
		return stateSure
	case r.gap >= s.floor && now.Before(s.unsureUntil):
		return stateUnsure
	}
	return stateVoid
}

// state is what a record is worth.
type state int

const (
	stateVoid state = iota
	stateUnsure
	stateSure
)
