package dispatcher

// AnswerEvent is an event in the handling of an answer. The set of values is
// fixed, because they are the values of a metric label.
type AnswerEvent string

// Events that are counted.
const (
	// Resumed counts requests to the same upstream to resume a stream.
	Resumed AnswerEvent = "resumed"
	// Continued counts streams that another upstream is chosen to continue.
	Continued AnswerEvent = "continued"
	// Broken counts answers that ended with an error after the first chunk.
	Broken AnswerEvent = "broken"
	// Crossed counts exchanges that returned the answer to another request.
	Crossed AnswerEvent = "crossed"
	// Silent counts exchanges on a connection that delivered no byte in time.
	Silent AnswerEvent = "silent"
	// DuplicateChunk counts chunks that arrived more than once.
	DuplicateChunk AnswerEvent = "duplicate_chunk"
	// Cancelled counts cancellations started at an upstream.
	Cancelled AnswerEvent = "cancelled"
	// CancelDropped counts cancellations that were not sent because too many
	// were already in progress.
	CancelDropped AnswerEvent = "cancel_dropped"
	// ServiceCallBroke counts failed attempts at calls of plain services.
	ServiceCallBroke AnswerEvent = "service_call_broke"
)

// count reports n occurrences of event to the configured counter.
func (d *Dispatcher) count(event AnswerEvent, n int) {
	if d.cfg.Count != nil && n > 0 {
		d.cfg.Count(event, n)
	}
}
