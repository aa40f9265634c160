package sequencer

// StepKind tells what a step asks of the reader of a stream.
type StepKind int

// Kinds of steps.
const (
	// Deliver hands over the next event.
	Deliver StepKind = iota
	// Gap means that events before the next step were lost.
	Gap
	// Restart means that a new incarnation begins: what came before is void.
	Restart
)

// Step is one thing to do, in the order of the stream.
type Step[E any] struct {
	Kind StepKind
	// Seq is the number of the event, or of the first one after a gap.
	Seq uint64
	// Event is set for Deliver.
	Event E
}
