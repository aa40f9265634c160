// Package sequencer puts a late, reordered, repeated and incomplete stream of
// numbered events in order and tells where events were lost. It does no I/O
// and reads no clock.
package sequencer

import "time"

const (
	defaultMaxPending = 256
	defaultMaxDelay   = 500 * time.Millisecond
)

// Config is what a Sequencer is made from. Zero values take defaults.
type Config struct {
	// MaxPending bounds the events that wait for an earlier one.
	MaxPending int
	// MaxDelay bounds the time that they wait.
	MaxDelay time.Duration
}

// Stats counts what a Sequencer saw.
type Stats struct {
	// Repeated counts events that came again, or after they were given up.
	Repeated uint64
	// Stale counts events of an older incarnation.
	Stale uint64
	// Gaps counts places where events were lost.
	Gaps uint64
}

// Sequencer orders the events of one stream. It is used by one goroutine at a
// time.
type Sequencer[E any] struct {
	cfg         Config
	incarnation uint64
	// next is the number of the event that is due.
	next    uint64
	pending map[uint64]E
	// giveUpAt is the deadline of the event that is due while others wait.
	giveUpAt time.Time
	stats    Stats
}

// New returns a Sequencer that has seen nothing.
func New[E any](cfg Config) *Sequencer[E] {
	if cfg.MaxPending <= 0 {
		cfg.MaxPending = defaultMaxPending
	}
	if cfg.MaxDelay <= 0 {
		cfg.MaxDelay = defaultMaxDelay
	}
	return &Sequencer[E]{cfg: cfg, pending: make(map[uint64]E)}
}

// Incarnation returns the newest incarnation seen, 0 where there is none.
func (s *Sequencer[E]) Incarnation() uint64 { return s.incarnation }

// Stats returns the counters.
func (s *Sequencer[E]) Stats() Stats { return s.stats }

// Push takes one event and returns the steps that are due now, in order.
func (s *Sequencer[E]) Push(now time.Time, incarnation, seq uint64, event E) []Step[E] {
	var steps []Step[E]
	switch {
	case incarnation < s.incarnation:
		s.stats.Stale++
		return nil
	case incarnation > s.incarnation:
		steps = s.restart(incarnation, seq)
	case seq < s.next:
		s.stats.Repeated++
		return nil
	}
	if seq == s.next {
		s.next++
		steps = append(steps, Step[E]{Kind: Deliver, Seq: seq, Event: event})
		return s.drain(now, steps)
	}
	return s.hold(now, seq, event, steps)
}

// restart begins the stream of a new incarnation. Where an older one was seen,
// the new stream is followed from its first event; a reader that is itself new
// starts at the event it meets and has missed those before it.
func (s *Sequencer[E]) restart(incarnation, seq uint64) []Step[E] {
	first := s.incarnation == 0
	s.incarnation = incarnation
	s.next = 1
	clear(s.pending)
	s.giveUpAt = time.Time{}
	if !first {
		return []Step[E]{{Kind: Restart, Seq: s.next}}
	}
	if seq == 1 {
		return nil
	}
	s.next = seq
	s.stats.Gaps++
	return []Step[E]{{Kind: Gap, Seq: s.next}}
}

// hold keeps an event that came before the one that is due.
func (s *Sequencer[E]) hold(now time.Time, seq uint64, event E, steps []Step[E]) []Step[E] {
	if _, ok := s.pending[seq]; ok {
		s.stats.Repeated++
		return steps
	}
	if len(s.pending) == 0 {
		s.giveUpAt = now.Add(s.cfg.MaxDelay)
	}
	s.pending[seq] = event
	if len(s.pending) > s.cfg.MaxPending || !now.Before(s.giveUpAt) {
		return s.giveUp(now, steps)
	}
	return steps
}

// Advance begins the stream of a newer incarnation that became known before its
// first event. It does nothing where no event was seen yet.
func (s *Sequencer[E]) Advance(incarnation uint64) []Step[E] {
	if s.incarnation == 0 || incarnation <= s.incarnation {
		return nil
	}
	return s.restart(incarnation, 1)
}

// Tick returns the steps that became due by the passing of time.
func (s *Sequencer[E]) Tick(now time.Time) []Step[E] {
	if len(s.pending) == 0 || now.Before(s.giveUpAt) {
		return nil
	}
	return s.giveUp(now, nil)
}

// giveUp goes on at the first event that waits: those before it are lost.
func (s *Sequencer[E]) giveUp(now time.Time, steps []Step[E]) []Step[E] {
	lowest := ^uint64(0)
	for seq := range s.pending {
		lowest = min(lowest, seq)
	}
	s.next = lowest
	s.stats.Gaps++
	return s.drain(now, append(steps, Step[E]{Kind: Gap, Seq: s.next}))
}

// drain delivers the waiting events that are due.
func (s *Sequencer[E]) drain(now time.Time, steps []Step[E]) []Step[E] {
	before := s.next
	for {
		event, ok := s.pending[s.next]
		if !ok {
			break
		}
		delete(s.pending, s.next)
		steps = append(steps, Step[E]{Kind: Deliver, Seq: s.next, Event: event})
		s.next++
	}
	if s.next != before && len(s.pending) > 0 {
		s.giveUpAt = now.Add(s.cfg.MaxDelay)
	}
	return steps
}
