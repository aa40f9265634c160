package sequencer

// StepKind is the kind of a step.
type StepKind int

// Kinds of steps.
const (
	// Deliver delivers the next event.
	Deliver StepKind = iota
	// Gap reports that events before the next step were lost.
	Gap
	// Restart reports that a new incarnation begins, which invalidates all
	// earlier events.
	Restart
)

// Step is an event to process, or a gap or restart of the stream. Steps are processed
// in order.
type Step[E any] struct {
	Kind StepKind
	// Seq is the sequence number of the event, or of the first event after a gap
	// or restart.
	Seq uint64
	// Event is set for Deliver.
	Event E
}
