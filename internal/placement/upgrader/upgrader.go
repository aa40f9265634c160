package upgrader

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/placement/leaser"
	"gentianstep.example/gentianstep/internal/placement/planner"
)

const (
	// tick is the time between two plans. A load takes a few hundred
	// milliseconds, and its end is noticed one tick later on average.
	tick = 100 * time.Millisecond
	// callTimeout bounds a report of an engine, orderTimeout the answer to an
	// order: ten times the way to another region and back. An order that was not
	// answered counts as lost once a later report shows nothing of it, since the
	// number of accepted orders lets only one of the two take effect.
	callTimeout  = 700 * time.Millisecond
	orderTimeout = 300 * time.Millisecond
	// reportEvery is how often an engine with an order is asked how it stands.
	reportEvery = 150 * time.Millisecond
	// reportLag is how old the content of a report may be.
	reportLag = 500 * time.Millisecond
	// entryLag is how long an engine's entry in the store may differ from its
	// report before it is asked again.
	entryLag = 2 * time.Second
	// noticeLead is the time in which the other VMs hear of an order before its
	// engine does, so that they send it nothing that it would refuse.
	noticeLead = 80 * time.Millisecond
	// dueDivisor is the part of the time for new weights after which an engine
	// goes first, duePrecedence the requests in flight that this is worth.
	dueDivisor    = 3
	duePrecedence = 1000
	// loadShare is the part of the engines that load at once.
	loadShare = 3
)

// Directory knows the engines and what is wanted of them.
type Directory interface {
	Engines() []*registrar.Upstream
	Wanted() map[string]informer.Weights
	// WantedWeights returns the versions that were wanted, the newest last.
	WantedWeights(model string) []informer.Weights
}

// Holder tells whether this VM holds the lease.
type Holder interface {
	Holding(now time.Time) (leaser.Holding, bool)
}

// Config holds what an Upgrader is built from.
type Config struct {
	Node      string
	Directory Directory
	Lease     Holder
	Engines   Engines
	// OnChange is told of engines that begin to change their weights, and of
	// those that are done.
	OnChange func(u *registrar.Upstream, changing bool, weights map[string]uint64)
	// Loads returns the requests in flight at each engine.
	Loads func() map[string]int
	// OnLease is called when this VM has taken the lease.
	OnLease func()
	// WeightsApply is the longest time to bring engines to a new version.
	WeightsApply time.Duration
	// CheckedFencing is true where engines refuse old fencing numbers.
	CheckedFencing bool
	Log            *logrus.Entry
}

// Upgrader runs on every VM and acts on the one that holds the lease.
type Upgrader struct {
	cfg Config

	mu      sync.Mutex
	fencing uint64
	planner *planner.Planner
	seen    map[string]*observation
}

// New returns an Upgrader.
func New(cfg Config) *Upgrader {
	return &Upgrader{cfg: cfg, seen: make(map[string]*observation)}
}

// Run acts until ctx ends.
func (g *Upgrader) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.step(ctx, time.Now())
		}
	}
}

// step asks engines how they stand and gives the orders that are due.
func (g *Upgrader) step(ctx context.Context, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	holding, held := g.cfg.Lease.Holding(now)
	if !held {
		g.fencing = 0
		return
	}
	if g.fencing != holding.Fencing {
		g.fencing = holding.Fencing
		g.planner = planner.New()
		clear(g.seen)
		g.cfg.OnLease()
	}
	if !g.cfg.CheckedFencing && now.Before(holding.UncheckedAfter) {
		return
	}
	engines := g.cfg.Directory.Engines()
	wanted := g.cfg.Directory.Wanted()
	g.ask(ctx, now, engines, wanted)
	for _, o := range g.planner.Plan(now, g.input(now, engines, wanted)) {
		g.give(ctx, now, holding, engines, o)
	}
}

// input returns what the plan is made from.
func (g *Upgrader) input(now time.Time, engines []*registrar.Upstream, wanted map[string]informer.Weights) planner.Input {
	in := planner.Input{
		Policy:   checker.PlacementPolicy{MaxLoads: max((len(engines)+loadShare-1)/loadShare, 1)},
		Deadline: now.Add(noticeLead + orderTimeout),
		// A model whose only engine keeps its old weights could not be served.
		Interrupt: true,
	}
	for model, w := range wanted {
		in.Models = append(in.Models, checker.Model{
			Name:                   model,
			WeightsVersion:         strconv.FormatUint(w.Version, 10),
			PreviousWeightsVersion: g.newestBefore(engines, model, w.Version),
			MinReplicas:            1,
		})
	}
	loads := g.cfg.Loads()
	for _, u := range engines {
		e := g.engine(now, u)
		e.Load = loads[u.ID]
		if g.due(now, u) {
			e.Load -= duePrecedence
		}
		in.Engines = append(in.Engines, e)
	}
	return in
}

// newestBefore returns the newest version below the wanted one that an engine
// has, empty where there is none.
func (g *Upgrader) newestBefore(engines []*registrar.Upstream, model string, wanted uint64) string {
	newest := uint64(0)
	for _, u := range engines {
		if version := g.weights(u)[model]; version < wanted {
			newest = max(newest, version)
		}
	}
	if newest == 0 {
		return ""
	}
	return strconv.FormatUint(newest, 10)
}

// due reports whether an engine lacks a version whose time is running out.
func (g *Upgrader) due(now time.Time, u *registrar.Upstream) bool {
	for model, version := range g.weights(u) {
		for _, w := range g.cfg.Directory.WantedWeights(model) {
			if w.Version > version && now.Sub(w.Since) > g.cfg.WeightsApply/dueDivisor {
				return true
			}
		}
	}
	return false
}

func (g *Upgrader) engine(now time.Time, u *registrar.Upstream) planner.Engine {
	o := g.observe(u)
	e := planner.Engine{
		Upstream:    u.ID,
		Incarnation: uint64(u.StartedAt.UnixMilli()),
		// Without a report nothing is known of the orders that it has taken.
		Frozen: o.reportedAt.IsZero() || !o.report.StartedAt.Equal(u.StartedAt),
		SeenAt: now,
	}
	if o.pending {
		// The report is of before the order, as far as it shows.
		e.SeenAt = o.reportedAt.Add(-reportLag)
	}
	for model, version := range g.weights(u) {
		e.Allowed = append(e.Allowed, model)
		loaded := planner.Loaded{Model: model, WeightsVersion: strconv.FormatUint(version, 10)}
		if o.report.Busy {
			e.Loading = append(e.Loading, loaded)
			continue
		}
		e.Ready = append(e.Ready, loaded)
	}
	return e
}
