package estimator

import (
	"slices"
	"time"

	"gentianstep.example/gentianstep/internal/routing/selector"
)

const (
	defaultPrefillPerBlock = 2 * time.Millisecond
	defaultServiceTime     = time.Second
	// minSampleBlocks is the smallest number of computed blocks for which the
	// prefill time per block is sampled.
	minSampleBlocks = 4
	// maxPrefillPerBlock bounds a sampled prefill time per block.
	maxPrefillPerBlock = time.Second
)

// Config configures an Estimator. Zero values select the defaults.
type Config struct {
	// PrefillPerBlock and ServiceTime are used for an upstream until they have
	// been observed there.
	PrefillPerBlock time.Duration
	ServiceTime     time.Duration
	// ImportPerBlock is the time to import one block from the cache store.
	ImportPerBlock time.Duration
	// PeerFactor is the number of requests from all routers that is assumed for
	// each own request sent since the last report.
	PeerFactor float64
}

// Estimator estimates the load of each upstream for one router, from load
// reports and the router's own requests. It is not safe for concurrent use.
type Estimator struct {
	cfg        Config
	byName     map[string]*upstreamState
	states     []*upstreamState
	requests   map[Ticket]inFlightRequest
	lastTicket Ticket
	mean       fleetMean
	// meanStale is true if mean does not include the latest reports or
	// upstreams.
	meanStale bool
}

// New returns an Estimator without upstreams.
func New(cfg Config) *Estimator {
	if cfg.PrefillPerBlock <= 0 {
		cfg.PrefillPerBlock = defaultPrefillPerBlock
	}
	if cfg.ServiceTime <= 0 {
		cfg.ServiceTime = defaultServiceTime
	}
	cfg.PeerFactor = max(cfg.PeerFactor, 1)
	return &Estimator{
		cfg:      cfg,
		byName:   make(map[string]*upstreamState),
		requests: make(map[Ticket]inFlightRequest),
	}
}

// SetUpstreams replaces the list of upstreams. Those that remain keep their
// state.
func (e *Estimator) SetUpstreams(upstreams []Upstream) {
	byName := make(map[string]*upstreamState, len(upstreams))
	states := make([]*upstreamState, 0, len(upstreams))
	for _, u := range upstreams {
		s, ok := e.byName[u.Name]
		if !ok {
			s = &upstreamState{}
		}
		s.upstream = u
		byName[u.Name] = s
		states = append(states, s)
	}
	for name := range e.byName {
		if _, ok := byName[name]; !ok {
			e.dropInFlight(name)
		}
	}
	e.byName = byName
	e.states = states
	e.meanStale = true
}

// ApplyReport applies a load report and reports whether it was accepted. It
// drops a report of an unknown upstream or an older incarnation, and one that
// was not made after the last.
func (e *Estimator) ApplyReport(r Report) bool {
	s, ok := e.byName[r.Upstream]
	if !ok || r.Incarnation < s.report.Incarnation {
		return false
	}
	restarted := r.Incarnation > s.report.Incarnation
	if !restarted && !r.ReportedAt.After(s.report.ReportedAt) {
		return false
	}
	if restarted && s.report.Incarnation != 0 {
		e.dropInFlight(r.Upstream)
		s.resetInFlight()
	}
	s.report = r
	e.recountUnreported(s)
	e.meanStale = true
	return true
}

// dropInFlight drops the requests in flight at an upstream that was removed or
// has restarted.
func (e *Estimator) dropInFlight(upstream string) {
	for t, r := range e.requests {
		if r.send.Upstream == upstream {
			delete(e.requests, t)
		}
	}
}

// recountUnreported counts the requests in flight that were sent after the
// report of s was made.
func (e *Estimator) recountUnreported(s *upstreamState) {
	s.unreportedRequests = 0
	s.unreportedBlocks = 0
	if s.inFlight == 0 {
		return
	}
	for _, r := range e.requests {
		if r.send.Upstream != s.upstream.Name || !r.sentAt.After(s.report.ReportedAt) {
			continue
		}
		s.unreportedRequests++
		if r.computing {
			s.unreportedBlocks += r.send.Blocks
		}
	}
}

// RecordSent records a request that was sent to an upstream.
func (e *Estimator) RecordSent(now time.Time, send SentRequest) Ticket {
	e.lastTicket++
	r := inFlightRequest{send: send, sentAt: now, computing: true}
	if s, ok := e.byName[send.Upstream]; ok {
		s.inFlight++
		s.unreportedRequests++
		s.computingBlocks += send.Blocks
		s.unreportedBlocks += send.Blocks
	}
	e.requests[e.lastTicket] = r
	return e.lastTicket
}

// RecordFirstToken records the first token of a request for which the upstream
// computed the given number of blocks, and samples its prefill time per block.
func (e *Estimator) RecordFirstToken(now time.Time, t Ticket, computed int) {
	r, ok := e.requests[t]
	if !ok || !r.computing {
		return
	}
	r.computing = false
	e.requests[t] = r
	s, ok := e.byName[r.send.Upstream]
	if !ok {
		return
	}
	e.endPrefill(s, r)
	elapsed := now.Sub(r.sentAt) - r.send.ExpectedWait
	if computed < minSampleBlocks || elapsed <= 0 {
		return
	}
	s.prefill.addWithWait(min(elapsed/time.Duration(computed), maxPrefillPerBlock))
}

func (e *Estimator) endPrefill(s *upstreamState, r inFlightRequest) {
	s.computingBlocks -= r.send.Blocks
	if r.sentAt.After(s.report.ReportedAt) {
		s.unreportedBlocks -= r.send.Blocks
	}
}

// EndRequest records the end of a request, whether answered or failed.
func (e *Estimator) EndRequest(now time.Time, t Ticket) {
	r, ok := e.requests[t]
	if !ok {
		return
	}
	delete(e.requests, t)
	s, ok := e.byName[r.send.Upstream]
	if !ok {
		return
	}
	s.inFlight--
	if r.sentAt.After(s.report.ReportedAt) {
		s.unreportedRequests--
	}
	if r.computing {
		e.endPrefill(s, r)
		return
	}
	s.service.add(now.Sub(r.sentAt))
}

// SuspectUntil marks an upstream as suspect until a time, so that selections
// avoid it.
func (e *Estimator) SuspectUntil(upstream string, until time.Time) {
	if s, ok := e.byName[upstream]; ok {
		s.suspectUntil = until
	}
}

// Candidates returns the estimated load of the upstreams that accept admits,
// reusing the memory of buf. A nil accept admits all.
func (e *Estimator) Candidates(now time.Time, buf []selector.Candidate, accept func(upstream string) bool) []selector.Candidate {
	if e.meanStale {
		e.mean = meanOf(e.states)
		e.meanStale = false
	}
	buf = slices.Grow(buf[:0], len(e.states))
	for _, s := range e.states {
		s.candidateIndex = -1
		if accept != nil && !accept(s.upstream.Name) {
			continue
		}
		s.candidateIndex = len(buf)
		buf = buf[:len(buf)+1]
		s.fillCandidate(&buf[len(buf)-1], now, &e.cfg, e.mean)
	}
	return buf
}
