package dispatcher

import (
	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
)

// Job is one checked completion request of a caller.
type Job struct {
	ID           string
	Bundle       *checker.Bundle
	Organisation checker.Organisation
	Model        checker.Model
	Priority     checker.Priority
	Path         string
	Request      encoder.Request
}

// Sink takes the chunks of an answer in order.
type Sink interface {
	// Chunk takes chunk n of the answer, counted from 1.
	Chunk(n uint64, c encoder.Chunk) error
}

// HeadSink is a Sink that wants to know which upstream begins the answer. Head
// is called before the first chunk.
type HeadSink interface {
	Head(upstream string)
}
