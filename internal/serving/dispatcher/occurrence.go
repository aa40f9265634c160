package dispatcher

// Occurrence names something that befell an answer on its way. The list is
// closed, so that it can label a metric.
type Occurrence string

// Occurrences.
const (
	Resumed          Occurrence = "resumed"
	Continued        Occurrence = "continued"
	Broken           Occurrence = "broken"
	Crossed          Occurrence = "crossed"
	Silent           Occurrence = "silent"
	DuplicateChunk   Occurrence = "duplicate_chunk"
	Cancelled        Occurrence = "cancelled"
	CancelDropped    Occurrence = "cancel_dropped"
	ServiceCallBroke Occurrence = "service_call_broke"
)

// count tells of n occurrences.
func (d *Dispatcher) count(o Occurrence, n int) {
	if d.cfg.Count != nil && n > 0 {
		d.cfg.Count(o, n)
	}
}
