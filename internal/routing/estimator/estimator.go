package estimator

import (
	"slices"
	"time"

	"gentianstep.example/gentianstep/internal/routing/selector"
)

const (
	defaultPrefillPerBlock = 2 * time.Millisecond
	defaultServiceTime     = time.Second
	// minSampleBlocks is the least number of computed blocks from which a
	// prefill time is learned.
	minSampleBlocks = 4
	// maxPrefillPerBlock bounds a learned prefill time.
	maxPrefillPerBlock = time.Second
)

// Config is what an Estimator is made from. Zero values take defaults.
type Config struct {
	// PrefillPerBlock and ServiceTime hold until they are observed.
	PrefillPerBlock time.Duration
	ServiceTime     time.Duration
	// ImportPerBlock is the time to import one block of kept cache.
	ImportPerBlock time.Duration
	// PeerFactor is the number of requests that one own send since the last
	// report stands for, since other routers send to the same upstreams.
	PeerFactor float64
}

// Estimator is the load belief of one router. It is used by one goroutine at
// a time.
type Estimator struct {
	cfg     Config
	byName  map[string]*belief
	beliefs []*belief
	flights map[Ticket]flight
	last    Ticket
	mean    mean
	// meanDue is true after a report that mean does not contain.
	meanDue bool
}

// New returns an Estimator that knows no upstream.
func New(cfg Config) *Estimator {
	if cfg.PrefillPerBlock <= 0 {
		cfg.PrefillPerBlock = defaultPrefillPerBlock
	}
	if cfg.ServiceTime <= 0 {
		cfg.ServiceTime = defaultServiceTime
	}
	cfg.PeerFactor = max(cfg.PeerFactor, 1)
	return &Estimator{
		cfg:     cfg,
		byName:  make(map[string]*belief),
		flights: make(map[Ticket]flight),
	}
}

// SetUpstreams replaces the list of upstreams and keeps what is known of those
// that stay.
func (e *Estimator) SetUpstreams(upstreams []Upstream) {
	byName := make(map[string]*belief, len(upstreams))
	beliefs := make([]*belief, 0, len(upstreams))
	for _, u := range upstreams {
		b, ok := e.byName[u.Name]
		if !ok {
			b = &belief{}
		}
		b.upstream = u
		byName[u.Name] = b
		beliefs = append(beliefs, b)
	}
	for name := range e.byName {
		if _, ok := byName[name]; !ok {
			e.forget(name)
		}
	}
	e.byName = byName
	e.beliefs = beliefs
	e.meanDue = true
}

// Report takes the load report of an upstream and tells whether it was used.
// A report of an older incarnation, or older than the last one, is dropped.
func (e *Estimator) Report(r Report) bool {
	b, ok := e.byName[r.Upstream]
	if !ok || r.Incarnation < b.report.Incarnation {
		return false
	}
	restarted := r.Incarnation > b.report.Incarnation
	if !restarted && !r.ReportedAt.After(b.report.ReportedAt) {
		return false
	}
	if restarted && b.report.Incarnation != 0 {
		e.forget(r.Upstream)
		b.restart()
	}
	b.report = r
	e.recount(b)
	e.meanDue = true
	return true
}

// forget drops the requests in flight at an upstream that left or restarted.
func (e *Estimator) forget(upstream string) {
	for t, f := range e.flights {
		if f.send.Upstream == upstream {
			delete(e.flights, t)
		}
	}
}

// recount counts the sends that the report of b is older than.
func (e *Estimator) recount(b *belief) {
	b.newSends = 0
	b.newBlocks = 0
	if b.inFlight == 0 {
		return
	}
	for _, f := range e.flights {
		if f.send.Upstream != b.upstream.Name || !f.sentAt.After(b.report.ReportedAt) {
			continue
		}
		b.newSends++
		if f.computing {
			b.newBlocks += f.send.Blocks
		}
	}
}

// Sent notes a request that went to an upstream.
func (e *Estimator) Sent(now time.Time, s Send) Ticket {
	e.last++
	f := flight{send: s, sentAt: now, computing: true}
	if b, ok := e.byName[s.Upstream]; ok {
		b.inFlight++
		b.newSends++
		b.computingBlocks += s.Blocks
		b.newBlocks += s.Blocks
	}
	e.flights[e.last] = f
	return e.last
}

// FirstToken notes the first token of a request for which the upstream
// computed that number of blocks.
func (e *Estimator) FirstToken(now time.Time, t Ticket, computed int) {
	f, ok := e.flights[t]
	if !ok || !f.computing {
		return
	}
	f.computing = false
	e.flights[t] = f
	b, ok := e.byName[f.send.Upstream]
	if !ok {
		return
	}
	e.endCompute(b, f)
	elapsed := now.Sub(f.sentAt) - f.send.Wait
	if computed < minSampleBlocks || elapsed <= 0 {
		return
	}
	b.prefill.addLow(min(elapsed/time.Duration(computed), maxPrefillPerBlock))
}

func (e *Estimator) endCompute(b *belief, f flight) {
	b.computingBlocks -= f.send.Blocks
	if f.sentAt.After(b.report.ReportedAt) {
		b.newBlocks -= f.send.Blocks
	}
}

// Done notes the end of a request, whether answered or failed.
func (e *Estimator) Done(now time.Time, t Ticket) {
	f, ok := e.flights[t]
	if !ok {
		return
	}
	delete(e.flights, t)
	b, ok := e.byName[f.send.Upstream]
	if !ok {
		return
	}
	b.inFlight--
	if f.sentAt.After(b.report.ReportedAt) {
		b.newSends--
	}
	if f.computing {
		e.endCompute(b, f)
		return
	}
	b.service.add(now.Sub(f.sentAt))
}

// Suspect leaves an upstream out of selections until that time.
func (e *Estimator) Suspect(upstream string, until time.Time) {
	if b, ok := e.byName[upstream]; ok {
		b.suspectUntil = until
	}
}

// Candidates returns the candidates that accept allows, in the memory of buf.
// A nil accept allows all.
func (e *Estimator) Candidates(now time.Time, buf []selector.Candidate, accept func(upstream string) bool) []selector.Candidate {
	if e.meanDue {
		e.mean = meanOf(e.beliefs)
		e.meanDue = false
	}
	buf = slices.Grow(buf[:0], len(e.beliefs))
	for _, b := range e.beliefs {
		b.at = -1
		if accept != nil && !accept(b.upstream.Name) {
			continue
		}
		b.at = len(buf)
		buf = buf[:len(buf)+1]
		b.fill(&buf[len(buf)-1], now, &e.cfg, e.mean)
	}
	return buf
}
