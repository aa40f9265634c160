// Package sequencer checks that the events of one answer are its own, whole
// and in order, over as many connections as the answer takes.
package sequencer

import (
	"gentianstep.example/gentianstep/internal/streaming/encoder"
	"gentianstep.example/gentianstep/internal/streaming/parser"
)

// errorEvent is the name of the event by which an upstream tells an error.
const errorEvent = "error"

// Config holds what a Sequencer is built from.
type Config struct {
	RequestID string
	// MaxTokens is the largest number of tokens of the answer.
	MaxTokens int
}

// Step says what to do with one event.
type Step struct {
	// Number is the chunk's place in the answer, from 1.
	Number uint64
	Chunk  encoder.Chunk
	// Deliver is false for a chunk that the caller has already.
	Deliver bool
	// End is true for the explicit end of a whole answer.
	End bool
}

// Sequencer follows one answer. It does no I/O.
type Sequencer struct {
	cfg        Config
	passed     uint64
	duplicates int
	finished   bool
}

// New returns a Sequencer that expects chunk 1.
func New(cfg Config) *Sequencer {
	return &Sequencer{cfg: cfg}
}

// Passed returns the number of chunks to deliver so far.
func (s *Sequencer) Passed() uint64 { return s.passed }

// Duplicates returns the number of chunks that came more than once.
func (s *Sequencer) Duplicates() int { return s.duplicates }

// Finished reports whether the chunk with the finish reason has come, after
// which no token is missing.
func (s *Sequencer) Finished() bool { return s.finished }

// Take checks the next event. The error is a *Fault; after one, the connection
// that gave the event is not to be trusted.
func (s *Sequencer) Take(event parser.Event) (Step, error) {
	if event.Name == errorEvent {
		return Step{}, fault(Reported, "upstream told an error")
	}
	if event.Data == encoder.Done {
		return s.end()
	}
	c, err := encoder.DecodeChunk([]byte(event.Data))
	if err != nil {
		return Step{}, fault(Malformed, "%v", err)
	}
	if c.ID != s.cfg.RequestID {
		return Step{}, fault(Crossed, "chunk of request %q", c.ID)
	}
	if event.ID == 0 || len(c.Choices) != 1 {
		return Step{}, fault(Malformed, "chunk takes a number and one choice")
	}
	if event.ID <= s.passed {
		s.duplicates++
		return Step{Number: event.ID, Chunk: c}, nil
	}
	return s.deliver(event.ID, c)
}

func (s *Sequencer) deliver(number uint64, c encoder.Chunk) (Step, error) {
	if s.finished {
		return Step{}, fault(TooLong, "chunk %d after the finish reason", number)
	}
	if number != s.passed+1 {
		return Step{}, fault(Gap, "chunk %d after chunk %d", number, s.passed)
	}
	last := c.FinishReason() != ""
	if !last && number > uint64(s.cfg.MaxTokens) {
		return Step{}, fault(TooLong, "token %d of at most %d", number, s.cfg.MaxTokens)
	}
	s.passed = number
	s.finished = last
	return Step{Number: number, Chunk: c, Deliver: true}, nil
}

func (s *Sequencer) end() (Step, error) {
	if !s.finished {
		return Step{}, fault(EndedEarly, "end after chunk %d without a finish reason", s.passed)
	}
	return Step{End: true}, nil
}
