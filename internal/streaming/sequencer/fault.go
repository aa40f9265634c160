package sequencer

import "fmt"

// FaultKind names what is wrong with an event of a stream.
type FaultKind string

// Kinds of faults.
const (
	// Malformed is an event that cannot be read as a chunk.
	Malformed FaultKind = "malformed"
	// Crossed is a chunk of another request.
	Crossed FaultKind = "crossed"
	// Gap is a chunk that came before an earlier one.
	Gap FaultKind = "gap"
	// EndedEarly is an end of the stream before its finish reason.
	EndedEarly FaultKind = "ended_early"
	// TooLong is an answer with more chunks than were asked for.
	TooLong FaultKind = "too_long"
	// Reported is an error that the upstream itself told.
	Reported FaultKind = "reported"
)

// Fault is an event that must not reach the caller.
type Fault struct {
	Kind   FaultKind
	Detail string
}

// Error implements error.
func (f *Fault) Error() string { return fmt.Sprintf("stream fault %s: %s", f.Kind, f.Detail) }

func fault(kind FaultKind, format string, args ...any) *Fault {
	return &Fault{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}
