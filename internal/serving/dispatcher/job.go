package dispatcher

import (
	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
)

// Job is one validated completion request of a caller.
type Job struct {
	ID           string
	Bundle       *checker.Bundle
	Organisation checker.Organisation
	Model        checker.Model
	Priority     checker.Priority
	Path         string
	Request      encoder.Request
}

// Sink receives the chunks of an answer in order.
type Sink interface {
	// WriteChunk writes chunk n of the answer. Chunks are numbered from 1.
	WriteChunk(n uint64, c encoder.Chunk) error
}

// HeadSink is implemented by a Sink that reports the upstream of the first
// chunk to the caller. Head is called once, before the first chunk.
type HeadSink interface {
	Head(upstream string)
}
