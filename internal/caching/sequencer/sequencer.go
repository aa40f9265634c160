// Package sequencer restores the order of a stream of numbered events that arrive
// late, reordered, repeatedly or not at all, and reports where events were lost. It
// does no I/O and reads no clock.
package sequencer

import "time"

const (
	defaultMaxPending = 256
	defaultMaxDelay   = 500 * time.Millisecond
)

// Config configures a Sequencer. Zero values select the defaults.
type Config struct {
	// MaxPending bounds the number of events buffered until an earlier one
	// arrives.
	MaxPending int
	// MaxDelay bounds the wait for a missing event.
	MaxDelay time.Duration
}

// Stats holds the counters of a Sequencer.
type Stats struct {
	// Repeated counts events that arrived again, or after they were reported as
	// lost.
	Repeated uint64
	// Stale counts events of an older incarnation.
	Stale uint64
	// Gaps counts the gaps in which one or more events were lost.
	Gaps uint64
}

// Sequencer orders the events of one stream. It is not safe for concurrent use.
type Sequencer[E any] struct {
	cfg         Config
	incarnation uint64
	// next is the sequence number of the next event to deliver.
	next uint64
	// pending buffers the events after next.
	pending map[uint64]E
	// gapDeadline is when the event next is considered lost. It applies while
	// pending is not empty.
	gapDeadline time.Time
	stats       Stats
}

// New returns a Sequencer that has received no events.
func New[E any](cfg Config) *Sequencer[E] {
	if cfg.MaxPending <= 0 {
		cfg.MaxPending = defaultMaxPending
	}
	if cfg.MaxDelay <= 0 {
		cfg.MaxDelay = defaultMaxDelay
	}
	return &Sequencer[E]{cfg: cfg, pending: make(map[uint64]E)}
}

// Incarnation returns the newest incarnation, or 0 before the first event.
func (s *Sequencer[E]) Incarnation() uint64 { return s.incarnation }

// Stats returns the counters.
func (s *Sequencer[E]) Stats() Stats { return s.stats }

// Push adds an event and returns the steps to process now, in order.
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
	return s.buffer(now, seq, event, steps)
}

// restart begins the stream of a new incarnation. If there was an older one, the
// stream begins at event 1. Otherwise the reader has just started: the stream begins
// at the received event, and the events before it are reported as a gap.
func (s *Sequencer[E]) restart(incarnation, seq uint64) []Step[E] {
	first := s.incarnation == 0
	s.incarnation = incarnation
	s.next = 1
	clear(s.pending)
	s.gapDeadline = time.Time{}
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

// buffer keeps an event until the earlier ones arrive or are considered lost.
func (s *Sequencer[E]) buffer(now time.Time, seq uint64, event E, steps []Step[E]) []Step[E] {
	if _, ok := s.pending[seq]; ok {
		s.stats.Repeated++
		return steps
	}
	if len(s.pending) == 0 {
		s.gapDeadline = now.Add(s.cfg.MaxDelay)
	}
	s.pending[seq] = event
	if len(s.pending) > s.cfg.MaxPending || !now.Before(s.gapDeadline) {
		return s.skipGap(now, steps)
	}
	return steps
}

// Advance begins the stream of a newer incarnation before its first event arrives.
// It does nothing before the first event of any incarnation.
func (s *Sequencer[E]) Advance(incarnation uint64) []Step[E] {
	if s.incarnation == 0 || incarnation <= s.incarnation {
		return nil
	}
	return s.restart(incarnation, 1)
}

// Tick returns the steps to process because the wait for a missing event timed out.
func (s *Sequencer[E]) Tick(now time.Time) []Step[E] {
	if len(s.pending) == 0 || now.Before(s.gapDeadline) {
		return nil
	}
	return s.skipGap(now, nil)
}

// skipGap considers the events before the first buffered one as lost and continues
// with that one.
func (s *Sequencer[E]) skipGap(now time.Time, steps []Step[E]) []Step[E] {
	lowest := ^uint64(0)
	for seq := range s.pending {
		lowest = min(lowest, seq)
	}
	s.next = lowest
	s.stats.Gaps++
	return s.drain(now, append(steps, Step[E]{Kind: Gap, Seq: s.next}))
}

// drain delivers the buffered events that follow without a gap. It restarts the
// deadline if it delivered any and others remain buffered.
func (s *Sequencer[E]) drain(now time.Time, steps []Step[E]) []Step[E] {
	first := s.next
	for {
		event, ok := s.pending[s.next]
		if !ok {
			break
		}
		delete(s.pending, s.next)
		steps = append(steps, Step[E]{Kind: Deliver, Seq: s.next, Event: event})
		s.next++
	}
	if s.next != first && len(s.pending) > 0 {
		s.gapDeadline = now.Add(s.cfg.MaxDelay)
	}
	return steps
}
