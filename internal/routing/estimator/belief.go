package estimator

import (
	"time"

	"gentianstep.example/gentianstep/internal/routing/selector"
)

const (
	// requestMemory is the age at which a reported number of requests counts half.
	requestMemory = time.Second
	// blockMemory is the age at which a reported number of blocks counts half.
	blockMemory = 250 * time.Millisecond
)

// belief is what is known of one upstream.
type belief struct {
	upstream Upstream
	report   Report
	// at is the place of the upstream in the last list of candidates, -1
	// where it was left out.
	at int
	// inFlight counts the router's own requests, computingBlocks their blocks
	// before the first token.
	inFlight        int
	computingBlocks int
	// newSends and newBlocks are the part of those that the report is older than.
	newSends  int
	newBlocks int
	prefill   average
	service   average
	// suspectUntil is the end of the cooldown after a failure.
	suspectUntil time.Time
}

// restart forgets what belonged to an older incarnation.
func (b *belief) restart() {
	b.inFlight = 0
	b.computingBlocks = 0
	b.newSends = 0
	b.newBlocks = 0
}

// estimate corrects a reported value. With age the report counts less and the
// mean of all reports more, or what the own sends since the report stand for,
// whichever is larger: the mean already contains usual arrivals.
func estimate(reported, mean, sends float64, age, memory time.Duration) float64 {
	trust := float64(memory) / float64(memory+max(age, 0))
	return reported*trust + max(mean*(1-trust), sends)
}

// fill writes the candidate of b into c. The means are those of all reports.
func (b *belief) fill(c *selector.Candidate, now time.Time, cfg *Config, m mean) {
	slots := float64(max(b.upstream.Slots, 1))
	newSends := cfg.PeerFactor * float64(b.newSends)
	newBlocks := float64(b.newBlocks)
	requests := max(m.load*slots, newSends)
	blocks := max(m.blocks, newBlocks)
	if !b.report.ReportedAt.IsZero() {
		age := now.Sub(b.report.ReportedAt)
		requests = estimate(float64(b.report.Queued+b.report.Running), m.load*slots, newSends, age, requestMemory)
		blocks = estimate(float64(b.report.QueuedBlocks), m.blocks, newBlocks, age, blockMemory)
	}
	requests = max(requests, float64(b.inFlight))
	running := min(requests, slots)
	*c = selector.Candidate{
		Name:             b.upstream.Name,
		Region:           b.upstream.Region,
		AvailabilityZone: b.upstream.AvailabilityZone,
		Incarnation:      b.report.Incarnation,
		Slots:            b.upstream.Slots,
		Queued:           requests - running,
		Running:          running,
		QueuedBlocks:     max(blocks, float64(b.computingBlocks)),
		ReportedAt:       b.report.ReportedAt,
		ImportPerBlock:   cfg.ImportPerBlock,
		PrefillPerBlock:  b.prefill.or(cfg.PrefillPerBlock),
		ServiceTime:      b.service.or(cfg.ServiceTime),
		Suspect:          now.Before(b.suspectUntil),
	}
}
