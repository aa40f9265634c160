// Package sequencer checks that the chunks of an answer belong to its request and
// are complete and in order, also when the answer is streamed over several
// connections.
package sequencer

import (
	"gentianstep.example/gentianstep/internal/streaming/encoder"
	"gentianstep.example/gentianstep/internal/streaming/parser"
)

// errorEvent is the name of the event with which an upstream reports an error.
const errorEvent = "error"

// Config configures a Sequencer.
type Config struct {
	RequestID string
	// MaxTokens is the maximum number of tokens of the answer.
	MaxTokens int
}

// EventResult is the result of checking an event.
type EventResult struct {
	// Number is the position of the chunk in the answer, from 1.
	Number uint64
	Chunk  encoder.Chunk
	// Deliver is true if the chunk is to be delivered, false if it is a duplicate.
	Deliver bool
	// End is true for the event that ends a complete answer.
	End bool
}

// Sequencer checks the events of one answer. It does no I/O and is not safe for
// concurrent use.
type Sequencer struct {
	cfg        Config
	delivered  uint64
	duplicates int
	finished   bool
}

// New returns a Sequencer that expects chunk 1 first.
func New(cfg Config) *Sequencer {
	return &Sequencer{cfg: cfg}
}

// DeliveredChunks returns the number of chunks accepted for delivery so far.
func (s *Sequencer) DeliveredChunks() uint64 { return s.delivered }

// DuplicateChunks returns the number of chunks that were received again.
func (s *Sequencer) DuplicateChunks() int { return s.duplicates }

// Finished reports whether the chunk with the finish reason was received, which
// completes the answer even if the stream breaks before its end event.
func (s *Sequencer) Finished() bool { return s.finished }

// CheckEvent checks the next event. Its error is a *StreamError, after which no
// further event of the same connection may be used.
func (s *Sequencer) CheckEvent(event parser.Event) (EventResult, error) {
	if event.Name == errorEvent {
		return EventResult{}, newError(Reported, "upstream sent an error event")
	}
	if event.Data == encoder.Done {
		return s.checkEnd()
	}
	c, err := encoder.DecodeChunk([]byte(event.Data))
	if err != nil {
		return EventResult{}, newError(Malformed, "%v", err)
	}
	if c.ID != s.cfg.RequestID {
		return EventResult{}, newError(Crossed, "chunk belongs to request %q", c.ID)
	}
	if event.ID == 0 || len(c.Choices) != 1 {
		return EventResult{}, newError(Malformed, "chunk needs a number and exactly one choice")
	}
	if event.ID <= s.delivered {
		s.duplicates++
		return EventResult{Number: event.ID, Chunk: c}, nil
	}
	return s.acceptChunk(event.ID, c)
}

// acceptChunk checks a chunk that was not received before.
func (s *Sequencer) acceptChunk(number uint64, c encoder.Chunk) (EventResult, error) {
	if s.finished {
		return EventResult{}, newError(TooLong, "got chunk %d after the finish reason", number)
	}
	if number != s.delivered+1 {
		return EventResult{}, newError(Gap, "got chunk %d after chunk %d", number, s.delivered)
	}
	last := c.FinishReason() != ""
	if !last && number > uint64(s.cfg.MaxTokens) {
		return EventResult{}, newError(TooLong, "got token %d, want at most %d", number, s.cfg.MaxTokens)
	}
	s.delivered = number
	s.finished = last
	return EventResult{Number: number, Chunk: c, Deliver: true}, nil
}

// checkEnd checks that the answer is complete at the end of its stream.
func (s *Sequencer) checkEnd() (EventResult, error) {
	if !s.finished {
		return EventResult{}, newError(EndedEarly, "stream ended after chunk %d without a finish reason", s.delivered)
	}
	return EventResult{End: true}, nil
}
