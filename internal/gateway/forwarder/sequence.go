package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// errNotResumed is returned for a stream that should go on behind an event and has another
// content instead.
var errNotResumed = errors.New("response does not resume the stream")

// sequence is the order of the events that the client has. Events of a stream have numbers
// that rise by one, which tells those apart that are missing or come twice.
type sequence struct {
	// last is the ID of the last event, empty if there is none.
	last string
	// begun is true once an event has arrived. Until then last is what the client has stated.
	begun bool
	// first is the lowest number that the client has.
	first uint64
	// confirmed is true once an event has followed the one before by its number. Until then
	// the number of the first event may be wrong.
	confirmed bool
	// behind is true if the latest event of the attempt comes before the last one, so that the
	// attempt has events to follow.
	behind bool
	// text is the last event if the attempt has sent it, and empty otherwise.
	text []byte
	// unresumable is true if it is not known behind which event the stream would go on.
	unresumable bool
}

// newSequence returns the sequence of a client that has all events up to one, or none.
func newSequence(resumeAfter string) sequence { return sequence{last: resumeAfter, confirmed: true} }

// beginAttempt records that further events are those of another attempt.
func (s *sequence) beginAttempt() { s.behind, s.text = false, s.text[:0] }

// accept adds an event to those that the client has. It reports whether to skip the event,
// since the client has it, and returns an error if it is not the next one.
func (s *sequence) accept(id string, event []byte) (skip bool, err error) {
	last, lastErr := strconv.ParseUint(s.last, 10, 64)
	if s.last == "" || !s.begun && lastErr != nil {
		s.first, _ = strconv.ParseUint(id, 10, 64) // IDs that are not numbers are not ordered
		s.last, s.begun, s.confirmed = id, true, false
		s.text = append(s.text[:0], event...)
		return false, nil
	}
	next, nextErr := strconv.ParseUint(id, 10, 64)
	switch {
	case lastErr != nil && nextErr != nil:
		s.last, s.unresumable = id, true
		return false, nil
	case lastErr != nil || nextErr != nil:
		err = fmt.Errorf("event %q follows event %q", id, s.last)
	case next > last && next != last+1:
		err = fmt.Errorf("gap in stream: event %d follows event %d", next, last)
	case next <= last:
		if err = s.checkSeen(next, last, event); err == nil {
			return true, nil
		}
	default:
		s.last, s.begun, s.confirmed, s.behind = id, true, true, false
		s.text = append(s.text[:0], event...)
		return false, nil
	}
	s.unresumable = s.unresumable || !s.confirmed
	return false, err
}

// checkSeen returns an error if an event that does not come after the last one is none that
// the client has.
func (s *sequence) checkSeen(number, last uint64, event []byte) error {
	switch {
	case number < s.first:
		return fmt.Errorf("event %d follows event %d, and the client has none before %d", number, last, s.first)
	case number == last && len(s.text) > 0 && !bytes.Equal(event, s.text):
		return fmt.Errorf("event %d follows itself with another content", number)
	}
	s.behind = number < last
	return nil
}

// acceptUnnumbered adds an event without an ID.
func (s *sequence) acceptUnnumbered() { s.unresumable = true }

// isComment reports whether a block of lines is no event: it has nothing but comments, empty
// lines and the time after which to reconnect.
func isComment(block []byte) bool {
	for line := range bytes.Lines(block) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) > 0 && line[0] != ':' && !bytes.HasPrefix(line, []byte("retry:")) {
			return false
		}
	}
	return true
}
