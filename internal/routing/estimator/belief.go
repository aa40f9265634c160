package estimator

import (
	"time"

	"gentianstep.example/gentianstep/internal/routing/selector"
)

const (
	// requestHalfWeightAge is the age at which the weight of a reported number
	// of requests is half.
	requestHalfWeightAge = time.Second
	// blockHalfWeightAge is the age at which the weight of a reported number of
	// blocks is half.
	blockHalfWeightAge = 250 * time.Millisecond
)

// upstreamState is the last report of one upstream, the router's own load there
// and the durations observed at it.
type upstreamState struct {
	upstream Upstream
	report   Report
	// candidateIndex is the index of the upstream in the last list of
	// candidates, -1 if it was excluded.
	candidateIndex int
	// inFlight is the number of the router's own requests, computingBlocks the
	// number of blocks to compute for those without a first token.
	inFlight        int
	computingBlocks int
	// unreportedRequests and unreportedBlocks are the parts of inFlight and
	// computingBlocks that were sent after the report was made.
	unreportedRequests int
	unreportedBlocks   int
	prefill            average
	service            average
	// suspectUntil is the end of the cooldown after a failure.
	suspectUntil time.Time
}

// resetInFlight clears the counts of requests sent to an older incarnation.
func (s *upstreamState) resetInFlight() {
	s.inFlight = 0
	s.computingBlocks = 0
	s.unreportedRequests = 0
	s.unreportedBlocks = 0
}

// correctForAge corrects a reported value by its age. The weight of the report
// decreases with age, and that of the mean over all upstreams increases. The
// sent load since the report replaces the share of the mean if it is larger; it
// is not added, since the mean already includes usual arrivals.
func correctForAge(reported, mean, sent float64, age, halfWeightAge time.Duration) float64 {
	weight := float64(halfWeightAge) / float64(halfWeightAge+max(age, 0))
	return reported*weight + max(mean*(1-weight), sent)
}

// fillCandidate sets c to the estimated load of the upstream. m is the mean
// over all upstreams.
func (s *upstreamState) fillCandidate(c *selector.Candidate, now time.Time, cfg *Config, m fleetMean) {
	slots := float64(max(s.upstream.Slots, 1))
	sentRequests := cfg.PeerFactor * float64(s.unreportedRequests)
	sentBlocks := float64(s.unreportedBlocks)
	requests := max(m.requestsPerSlot*slots, sentRequests)
	blocks := max(m.blocks, sentBlocks)
	if !s.report.ReportedAt.IsZero() {
		age := now.Sub(s.report.ReportedAt)
		requests = correctForAge(float64(s.report.Queued+s.report.Running), m.requestsPerSlot*slots, sentRequests, age, requestHalfWeightAge)
		blocks = correctForAge(float64(s.report.QueuedBlocks), m.blocks, sentBlocks, age, blockHalfWeightAge)
	}
	requests = max(requests, float64(s.inFlight))
	running := min(requests, slots)
	*c = selector.Candidate{
		Name:             s.upstream.Name,
		Region:           s.upstream.Region,
		AvailabilityZone: s.upstream.AvailabilityZone,
		Incarnation:      s.report.Incarnation,
		Slots:            s.upstream.Slots,
		Queued:           requests - running,
		Running:          running,
		QueuedBlocks:     max(blocks, float64(s.computingBlocks)),
		ReportedAt:       s.report.ReportedAt,
		ImportPerBlock:   cfg.ImportPerBlock,
		PrefillPerBlock:  s.prefill.valueOr(cfg.PrefillPerBlock),
		ServiceTime:      s.service.valueOr(cfg.ServiceTime),
		Suspect:          now.Before(s.suspectUntil),
	}
}
