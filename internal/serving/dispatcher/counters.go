package dispatcher

import "github.com/rcrowley/go-metrics"

// counters count what happened to answers on their way.
type counters struct {
	resumed     metrics.Counter
	continued   metrics.Counter
	broken      metrics.Counter
	crossed     metrics.Counter
	silent      metrics.Counter
	duplicates  metrics.Counter
	cancelled   metrics.Counter
	uncancelled metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	return counters{
		resumed:     metrics.GetOrRegisterCounter("streams_resumed", r),
		continued:   metrics.GetOrRegisterCounter("streams_continued", r),
		broken:      metrics.GetOrRegisterCounter("streams_broken", r),
		crossed:     metrics.GetOrRegisterCounter("answers_crossed", r),
		silent:      metrics.GetOrRegisterCounter("connections_silent", r),
		duplicates:  metrics.GetOrRegisterCounter("chunks_duplicate", r),
		cancelled:   metrics.GetOrRegisterCounter("streams_cancelled", r),
		uncancelled: metrics.GetOrRegisterCounter("cancellations_dropped", r),
	}
}
