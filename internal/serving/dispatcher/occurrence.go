package dispatcher

// Occurrence is an event in the handling of an answer. The set of values is
// fixed, because they are the values of a metric label.
type Occurrence string

// Events that are counted.
const (
	// Resumed counts requests to the same upstream to resume a stream.
	Resumed Occurrence = "resumed"
	// Continued counts streams that another upstream is chosen to continue.
	Continued Occurrence = "continued"
	// Broken counts answers that ended with an error after the first chunk.
	Broken Occurrence = "broken"
	// Crossed counts exchanges that returned the answer to another request.
	Crossed Occurrence = "crossed"
	// Silent counts exchanges on a connection that delivered no byte in time.
	Silent Occurrence = "silent"
	// DuplicateChunk counts chunks that arrived more than once.
	DuplicateChunk Occurrence = "duplicate_chunk"
	// Cancelled counts cancellations started at an upstream.
	Cancelled Occurrence = "cancelled"
	// CancelDropped counts cancellations that were not sent because too many
	// were already in progress.
	CancelDropped Occurrence = "cancel_dropped"
	// ServiceCallBroke counts failed attempts at calls of plain services.
	ServiceCallBroke Occurrence = "service_call_broke"
)

// count reports n occurrences of o to the configured counter.
func (d *Dispatcher) count(o Occurrence, n int) {
	if d.cfg.Count != nil && n > 0 {
		d.cfg.Count(o, n)
	}
}
