package selector_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/caching/coalescer"
	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/routing/estimator"
	"gentianstep.example/gentianstep/internal/routing/replicator"
	"gentianstep.example/gentianstep/internal/routing/selector"
)

const (
	prefillPerBlock    = 2 * time.Millisecond
	eventLag           = 300 * time.Millisecond
	reportInterval     = time.Second
	reportLag          = 400 * time.Millisecond
	crossRegionLatency = 30 * time.Millisecond
	meanDecodeTime     = 600 * time.Millisecond
)

// engine simulates an upstream with a block cache, serial prefill and a number of
// slots.
type engine struct {
	name, region    string
	cache           map[hasher.Hash]uint64 // by block: logical time of the last use
	busyUntil       time.Time
	queue           []*job
	running         int
	clock, seq      uint64
	positions       map[hasher.Hash]int // by block: index in its chain
	stored, evicted []hasher.Hash
}

type job struct {
	chain  []hasher.Hash
	sentAt time.Time
	router *router
	ticket estimator.Ticket
}

type router struct {
	region     string
	est        *estimator.Estimator
	policy     selector.Policy
	ownSends   *coalescer.Coalescer
	replicator *replicator.Replicator
	candidates []selector.Candidate
}

type timer struct {
	at time.Time
	fn func()
}

// simulation is a discrete-event simulation of routers and upstreams in virtual
// time, with its results.
type simulation struct {
	scenario
	now                                                                       time.Time
	timers                                                                    []timer // in descending order of time
	random, service                                                           *rand.Rand
	engines                                                                   []*engine
	routers                                                                   []*router
	index                                                                     *indexer.Index
	waits                                                                     []time.Duration
	blocks, hitBlocks, duplicateBlocks, localDuplicateBlocks, crossRegionJobs int
}

// schedule calls fn after d of virtual time.
func (s *simulation) schedule(d time.Duration, fn func()) {
	at := s.now.Add(d)
	i, _ := slices.BinarySearchFunc(s.timers, at, func(t timer, at time.Time) int { return at.Compare(t.at) })
	s.timers = slices.Insert(s.timers, i, timer{at: at, fn: fn})
}

func newSimulation(sc scenario, seed uint64) *simulation {
	s := &simulation{scenario: sc, now: time.Unix(0, 0), random: rand.New(rand.NewPCG(seed, 0)), service: rand.New(rand.NewPCG(seed, 1)), index: indexer.New(indexer.Config{})}
	regions := []string{"a", "b", "c"}
	upstreams := make([]estimator.Upstream, 0, sc.Upstreams)
	for i := range sc.Upstreams {
		e := &engine{name: fmt.Sprintf("u%03d", i), region: regions[i%3], cache: map[hasher.Hash]uint64{}, positions: map[hasher.Hash]int{}}
		s.engines = append(s.engines, e)
		upstreams = append(upstreams, estimator.Upstream{Name: e.name, Region: e.region, Slots: sc.Slots})
	}
	for i := range sc.Routers {
		policy, err := selector.New(selector.Config{
			Selection: checker.SelectionPolicy{
				Name: sc.Policy, RecomputePrice: sc.RecomputePrice,
				CrossingPrice: checker.Duration(time.Second), CrossingLatency: checker.Duration(crossRegionLatency),
			},
			Random: rand.New(rand.NewPCG(seed, uint64(i+2))),
		})
		if err != nil {
			panic(err)
		}
		est := estimator.New(estimator.Config{PeerFactor: peerFactor(sc.Routers)})
		est.SetUpstreams(upstreams)
		rep, err := replicator.New(replicator.Config{})
		if err != nil {
			panic(err)
		}
		rep.SetUpstreamCount(sc.Upstreams / len(regions))
		s.routers = append(s.routers, &router{replicator: rep, region: regions[i%3], est: est, policy: policy, ownSends: coalescer.New(coalescer.Config{})})
	}
	return s
}

// peerFactor returns the factor that a router applies to its own requests since the
// last report, to account for those of other routers.
func peerFactor(routers int) float64 { return 1 + float64(routers-1)/8 }

// chain returns the block hashes of a prompt with four nested parts: organisation,
// product, user and question. The first three are drawn from Zipf distributions and
// shared with other prompts; the question is unique.
func (s *simulation) chain() []hasher.Hash {
	zipf := func(n int) uint64 { return rand.NewZipf(s.random, 1.2, 2, uint64(n-1)).Uint64() }
	organisation, product, user, question := zipf(8), zipf(12), zipf(20), s.random.Uint64()
	if s.random.Float64() < s.HotShare {
		organisation, product, user = 0, 0, 0
	}
	var chain []hasher.Hash
	h := uint64(1)
	for _, level := range []struct {
		id     uint64
		blocks int
	}{{organisation, 26}, {product, 22}, {user, 15}, {question, 5}} {
		h = h*0x9e3779b97f4a7c15 ^ (level.id+1)*0xbf58476d1ce4e5b9
		for range level.blocks {
			h = (h ^ h>>29) * 0x94d049bb133111eb
			chain = append(chain, hasher.Hash(h^h>>32))
		}
	}
	return chain
}

// arriveRequest schedules the next arrival of the Poisson process, selects an
// upstream for the current request and queues it there.
func (s *simulation) arriveRequest() {
	s.schedule(time.Duration(s.random.ExpFloat64()/s.Rate*float64(time.Second)), s.arriveRequest)
	r := s.routers[s.random.IntN(len(s.routers))]
	req := selector.Request{Region: r.region, Chain: s.chain(), MaxTokens: 200}
	affinity := r.replicator.Observe(s.now, hasher.Checkpoints(req.Chain))
	req.HomeBlocks, req.SharedBlocks, req.Replicas = affinity.HomeBlocks, affinity.SharedBlocks, affinity.Replicas
	req.PromptBytes = len(req.Chain) * hasher.BlockBytes
	r.candidates = r.est.Candidates(s.now, r.candidates, nil)
	if s.Index {
		r.est.AddHoldings(r.candidates, s.index.Lookup(s.now, hasher.Checkpoints(req.Chain), nil))
	}
	r.est.AddHoldings(r.candidates, r.ownSends.Lookup(s.now, hasher.Checkpoints(req.Chain), nil))
	d := r.policy.Select(s.now, req, r.candidates)
	i := slices.IndexFunc(s.engines, func(e *engine) bool { return e.name == d.Chosen })
	e := s.engines[i]
	j := &job{chain: req.Chain, sentAt: s.now, router: r}
	j.ticket = r.est.RecordSent(s.now, estimator.SentRequest{Upstream: e.name, Blocks: d.MissingBlocks})
	r.ownSends.RecordRequest(s.now, e.name, "m", 1, hasher.Checkpoints(req.Chain))
	e.queue = append(e.queue, j)
	s.startJobs(e)
}

// startJobs moves queued jobs into free slots and schedules their prefill, one
// after the other.
func (s *simulation) startJobs(e *engine) {
	for len(e.queue) > 0 && e.running < s.Slots {
		j := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		held := 0
		for held < len(j.chain) && e.cache[j.chain[held]] > 0 {
			held++
		}
		missing := len(j.chain) - held
		s.recordJob(e, j, held)
		for k := len(j.chain) - 1; k >= 0; k-- {
			s.cacheBlock(e, j.chain[k], k)
		}
		s.evictAndPublish(e)
		if e.busyUntil.Before(s.now) {
			e.busyUntil = s.now
		}
		e.busyUntil = e.busyUntil.Add(time.Duration(missing) * prefillPerBlock)
		s.schedule(e.busyUntil.Sub(s.now), func() { s.completePrefill(e, j, missing) })
	}
}

// recordJob adds the cache hits of a job and the missing blocks that other engines
// hold to the results.
func (s *simulation) recordJob(e *engine, j *job, held int) {
	s.blocks += len(j.chain)
	s.hitBlocks += held
	maxHeld, maxLocalHeld := held, held
	for _, other := range s.engines {
		n := 0
		for n < len(j.chain) && other.cache[j.chain[n]] > 0 {
			n++
		}
		maxHeld = max(maxHeld, n)
		if other.region == j.router.region {
			maxLocalHeld = max(maxLocalHeld, n)
		}
	}
	s.duplicateBlocks += maxHeld - held
	s.localDuplicateBlocks += maxLocalHeld - held
	if e.region != j.router.region {
		s.crossRegionJobs++
	}
}

// cacheBlock marks block h, at index k of its chain, as used and adds it to the cache
// if needed.
func (s *simulation) cacheBlock(e *engine, h hasher.Hash, k int) {
	e.clock++
	if e.cache[h] == 0 {
		e.positions[h] = k
		if hasher.IsCheckpoint(k) {
			e.stored = append(e.stored, h)
		}
	}
	e.cache[h] = e.clock
}

// evictAndPublish evicts the least recently used tenth of the blocks if the cache is
// over its limit, and sends the changes since the last call to the index.
func (s *simulation) evictAndPublish(e *engine) {
	if len(e.cache) > s.CacheBlocks {
		uses := make([]uint64, 0, len(e.cache))
		for _, use := range e.cache {
			uses = append(uses, use)
		}
		slices.Sort(uses)
		limit := uses[len(uses)/10]
		for h, use := range e.cache {
			if use < limit {
				if hasher.IsCheckpoint(e.positions[h]) {
					e.evicted = append(e.evicted, h)
				}
				delete(e.cache, h)
				delete(e.positions, h)
			}
		}
		slices.Sort(e.evicted)
	}
	e.seq++
	u := indexer.Update{Kind: indexer.Change, Upstream: e.name, Incarnation: 1, Seq: e.seq, Model: "m", WeightsVersion: "1", Stored: e.stored, Evicted: e.evicted}
	e.stored, e.evicted = nil, nil
	s.schedule(eventLag, func() { s.index.Apply(s.now, u) })
}

// completePrefill records the time to the first token and schedules the end of
// decoding.
func (s *simulation) completePrefill(e *engine, j *job, missing int) {
	wait := s.now.Sub(j.sentAt)
	if e.region != j.router.region {
		wait += crossRegionLatency
	}
	s.waits = append(s.waits, wait)
	j.router.est.RecordFirstToken(s.now, j.ticket, missing)
	s.schedule(time.Duration(s.service.ExpFloat64()*float64(meanDecodeTime)), func() {
		e.running--
		j.router.est.EndRequest(s.now, j.ticket)
		s.startJobs(e)
	})
}

// reportLoads sends the load of each engine to all routers, with a delay.
func (s *simulation) reportLoads() {
	s.schedule(reportInterval, s.reportLoads)
	for _, e := range s.engines {
		r := estimator.Report{Upstream: e.name, Incarnation: 1, Queued: len(e.queue), Running: e.running, QueuedBlocks: int(max(e.busyUntil.Sub(s.now), 0) / prefillPerBlock), ReportedAt: s.now}
		s.schedule(reportLag, func() {
			for _, router := range s.routers {
				router.est.ApplyReport(r)
			}
		})
	}
}

func (s *simulation) run() {
	s.schedule(0, s.arriveRequest)
	s.schedule(0, s.reportLoads)
	end := s.now.Add(time.Duration(s.Seconds) * time.Second)
	for s.now.Before(end) {
		next := s.timers[len(s.timers)-1]
		s.timers = s.timers[:len(s.timers)-1]
		s.now = next.at
		next.fn()
	}
}
