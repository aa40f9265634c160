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
	perBlock   = 2 * time.Millisecond
	eventLag   = 300 * time.Millisecond
	reportStep = time.Second
	reportLag  = 400 * time.Millisecond
	regionHop  = 30 * time.Millisecond
	decodeMean = 600 * time.Millisecond
)

// engine is a fake upstream: a cache of blocks, one prefill at a time, slots.
type engine struct {
	name, region    string
	cache           map[hasher.Hash]uint64 // value: last use
	busyUntil       time.Time
	queue           []*job
	running         int
	used, seq       uint64
	held            map[hasher.Hash]int // index of each block
	stored, evicted []hasher.Hash
}

type job struct {
	chain  []hasher.Hash
	sentAt time.Time
	router *router
	ticket estimator.Ticket
}

type router struct {
	region string
	est    *estimator.Estimator
	policy selector.Policy
	own    *coalescer.Coalescer
	heat   *replicator.Replicator
	buf    []selector.Candidate
}

type timer struct {
	at time.Time
	do func()
}

// fleet is one run in virtual time.
type fleet struct {
	scenario
	now                                    time.Time
	timers                                 []timer // the next one last
	random, service                        *rand.Rand
	engines                                []*engine
	routers                                []*router
	index                                  *indexer.Index
	waits                                  []time.Duration
	blocks, hit, elsewhere, near, crossing int
}

func (f *fleet) after(d time.Duration, do func()) {
	at := f.now.Add(d)
	i, _ := slices.BinarySearchFunc(f.timers, at, func(t timer, at time.Time) int { return at.Compare(t.at) })
	f.timers = slices.Insert(f.timers, i, timer{at: at, do: do})
}

func newFleet(s scenario, seed uint64) *fleet {
	f := &fleet{scenario: s, now: time.Unix(0, 0), random: rand.New(rand.NewPCG(seed, 0)), service: rand.New(rand.NewPCG(seed, 1)), index: indexer.New(indexer.Config{})}
	regions := []string{"a", "b", "c"}
	ups := make([]estimator.Upstream, 0, s.Upstreams)
	for i := range s.Upstreams {
		e := &engine{name: fmt.Sprintf("u%03d", i), region: regions[i%3], cache: map[hasher.Hash]uint64{}, held: map[hasher.Hash]int{}}
		f.engines = append(f.engines, e)
		ups = append(ups, estimator.Upstream{Name: e.name, Region: e.region, Slots: s.Slots})
	}
	for i := range s.Routers {
		policy, err := selector.New(selector.Config{
			Selection: checker.SelectionPolicy{
				Name: s.Policy, RecomputePrice: s.RecomputePrice,
				CrossingPrice: checker.Duration(time.Second), CrossingLatency: checker.Duration(regionHop),
			},
			Random: rand.New(rand.NewPCG(seed, uint64(i+2))),
		})
		if err != nil {
			panic(err)
		}
		est := estimator.New(estimator.Config{PeerFactor: peerFactor(s.Routers)})
		est.SetUpstreams(ups)
		heat, err := replicator.New(replicator.Config{})
		if err != nil {
			panic(err)
		}
		heat.SetUpstreams(s.Upstreams / len(regions))
		f.routers = append(f.routers, &router{heat: heat, region: regions[i%3], est: est, policy: policy, own: coalescer.New(coalescer.Config{})})
	}
	return f
}

func peerFactor(routers int) float64 { return 1 + float64(routers-1)/8 }

// chain returns a prompt nested in levels: catalogue, range, customer, question.
func (f *fleet) chain() []hasher.Hash {
	zipf := func(n int) uint64 { return rand.NewZipf(f.random, 1.2, 2, uint64(n-1)).Uint64() }
	org, rng, customer, question := zipf(8), zipf(12), zipf(20), f.random.Uint64()
	if f.random.Float64() < f.HotShare {
		org, rng, customer = 0, 0, 0
	}
	var chain []hasher.Hash
	h := uint64(1)
	for _, level := range []struct {
		id     uint64
		blocks int
	}{{org, 26}, {rng, 22}, {customer, 15}, {question, 5}} {
		h = h*0x9e3779b97f4a7c15 ^ (level.id+1)*0xbf58476d1ce4e5b9
		for range level.blocks {
			h = (h ^ h>>29) * 0x94d049bb133111eb
			chain = append(chain, hasher.Hash(h^h>>32))
		}
	}
	return chain
}

func (f *fleet) arrive() {
	f.after(time.Duration(f.random.ExpFloat64()/f.Rate*float64(time.Second)), f.arrive)
	r := f.routers[f.random.IntN(len(f.routers))]
	req := selector.Request{Region: r.region, Chain: f.chain(), MaxTokens: 200}
	heat := r.heat.Observe(f.now, hasher.Checkpoints(req.Chain))
	req.HomeBlocks, req.SharedBlocks, req.Replicas = heat.HomeBlocks, heat.SharedBlocks, heat.Replicas
	req.PromptBytes = len(req.Chain) * hasher.BlockBytes
	r.buf = r.est.Candidates(f.now, r.buf, nil)
	if f.Index {
		r.est.Hold(r.buf, f.index.Lookup(f.now, hasher.Checkpoints(req.Chain), nil))
	}
	r.est.Hold(r.buf, r.own.Lookup(f.now, hasher.Checkpoints(req.Chain), nil))
	d := r.policy.Select(f.now, req, r.buf)
	i := slices.IndexFunc(f.engines, func(e *engine) bool { return e.name == d.Chosen })
	e := f.engines[i]
	j := &job{chain: req.Chain, sentAt: f.now, router: r}
	j.ticket = r.est.Sent(f.now, estimator.Send{Upstream: e.name, Blocks: d.Missing})
	r.own.Sent(f.now, e.name, "m", 1, hasher.Checkpoints(req.Chain))
	e.queue = append(e.queue, j)
	f.start(e)
}

// start moves queued requests into free slots; prefill is one after the other.
func (f *fleet) start(e *engine) {
	for len(e.queue) > 0 && e.running < f.Slots {
		j := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		held := 0
		for held < len(j.chain) && e.cache[j.chain[held]] > 0 {
			held++
		}
		missing := len(j.chain) - held
		f.count(e, j, held)
		for k := len(j.chain) - 1; k >= 0; k-- {
			f.touch(e, j.chain[k], k)
		}
		f.evict(e)
		if e.busyUntil.Before(f.now) {
			e.busyUntil = f.now
		}
		e.busyUntil = e.busyUntil.Add(time.Duration(missing) * perBlock)
		f.after(e.busyUntil.Sub(f.now), func() { f.firstToken(e, j, missing) })
	}
}

func (f *fleet) count(e *engine, j *job, held int) {
	f.blocks += len(j.chain)
	f.hit += held
	best, near := held, held
	for _, other := range f.engines {
		n := 0
		for n < len(j.chain) && other.cache[j.chain[n]] > 0 {
			n++
		}
		best = max(best, n)
		if other.region == j.router.region {
			near = max(near, n)
		}
	}
	f.elsewhere += best - held
	f.near += near - held
	if e.region != j.router.region {
		f.crossing++
	}
}

func (f *fleet) touch(e *engine, h hasher.Hash, k int) {
	e.used++
	if e.cache[h] == 0 {
		e.held[h] = k
		if hasher.IsCheckpoint(k) {
			e.stored = append(e.stored, h)
		}
	}
	e.cache[h] = e.used
}

// evict drops the least recently used tenth once the cache is full.
func (f *fleet) evict(e *engine) {
	if len(e.cache) > f.CacheBlocks {
		uses := make([]uint64, 0, len(e.cache))
		for _, use := range e.cache {
			uses = append(uses, use)
		}
		slices.Sort(uses)
		limit := uses[len(uses)/10]
		for h, use := range e.cache {
			if use < limit {
				if hasher.IsCheckpoint(e.held[h]) {
					e.evicted = append(e.evicted, h)
				}
				delete(e.cache, h)
				delete(e.held, h)
			}
		}
		slices.Sort(e.evicted)
	}
	e.seq++
	u := indexer.Update{Kind: indexer.Change, Upstream: e.name, Incarnation: 1, Seq: e.seq, Model: "m", WeightsVersion: "1", Stored: e.stored, Evicted: e.evicted}
	e.stored, e.evicted = nil, nil
	f.after(eventLag, func() { f.index.Apply(f.now, u) })
}

func (f *fleet) firstToken(e *engine, j *job, missing int) {
	wait := f.now.Sub(j.sentAt)
	if e.region != j.router.region {
		wait += regionHop
	}
	f.waits = append(f.waits, wait)
	j.router.est.FirstToken(f.now, j.ticket, missing)
	f.after(time.Duration(f.service.ExpFloat64()*float64(decodeMean)), func() {
		e.running--
		j.router.est.Done(f.now, j.ticket)
		f.start(e)
	})
}

func (f *fleet) report() {
	f.after(reportStep, f.report)
	for _, e := range f.engines {
		r := estimator.Report{Upstream: e.name, Incarnation: 1, Queued: len(e.queue), Running: e.running, QueuedBlocks: int(max(e.busyUntil.Sub(f.now), 0) / perBlock), ReportedAt: f.now}
		f.after(reportLag, func() {
			for _, router := range f.routers {
				router.est.Report(r)
			}
		})
	}
}

func (f *fleet) run() {
	f.after(0, f.arrive)
	f.after(0, f.report)
	end := f.now.Add(time.Duration(f.Seconds) * time.Second)
	for f.now.Before(end) {
		next := f.timers[len(f.timers)-1]
		f.timers = f.timers[:len(f.timers)-1]
		f.now = next.at
		next.do()
	}
}
