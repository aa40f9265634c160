package sequencer

import "fmt"

// ErrorKind classifies the errors of a stream.
type ErrorKind string

// Kinds of stream errors.
const (
	// Malformed is an event that cannot be decoded as a numbered chunk.
	Malformed ErrorKind = "malformed"
	// Crossed is a chunk that belongs to another request.
	Crossed ErrorKind = "crossed"
	// Gap is a chunk whose predecessor is missing.
	Gap ErrorKind = "gap"
	// EndedEarly is the end of a stream without a finish reason.
	EndedEarly ErrorKind = "ended_early"
	// TooLong is an answer with more chunks than the request allows, or with a
	// chunk after the finish reason.
	TooLong ErrorKind = "too_long"
	// Reported is an error event that the upstream sent.
	Reported ErrorKind = "reported"
)

// StreamError is the error for an event that must not be delivered to the caller.
type StreamError struct {
	Kind   ErrorKind
	Detail string
}

// Error implements error.
func (f *StreamError) Error() string {
	return fmt.Sprintf("invalid stream event (%s): %s", f.Kind, f.Detail)
}

func newError(kind ErrorKind, format string, args ...any) *StreamError {
	return &StreamError{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}
