package upgrader

import (
	"context"
	"errors"
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
	// callTimeout bounds one call to an engine.
	callTimeout = 700 * time.Millisecond
	// orderTimeout is how long an order that was not answered may still take
	// effect as far as the plan is concerned; the number of accepted orders
	// guards against later ones.
	orderTimeout = 2 * time.Second
	// reportEvery is how often an engine with an order is asked how it stands.
	reportEvery = 150 * time.Millisecond
	// reportLag is how old the content of a report may be.
	reportLag = 500 * time.Millisecond
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

// observation is what is known of an engine.
type observation struct {
	report Report
	// reportedAt is zero until the engine has reported to this VM.
	reportedAt time.Time
	// askedAt is when it was last asked; asking is true until the answer.
	askedAt time.Time
	asking  bool
	// ordered is the number of accepted orders that the latest order requires,
	// pending is true until the report shows a higher one.
	ordered uint64
	pending bool
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
		g.give(ctx, holding, engines, o)
	}
}

// ask requests reports of the engines that have work to do.
func (g *Upgrader) ask(ctx context.Context, now time.Time, engines []*registrar.Upstream, wanted map[string]informer.Weights) {
	for _, u := range engines {
		o := g.observe(u)
		due := o.pending || o.report.Busy || outdated(g.weights(u), wanted)
		if !due || o.asking || now.Before(o.askedAt.Add(reportEvery)) {
			continue
		}
		o.asking, o.askedAt = true, now
		go g.runReport(ctx, u, o)
	}
}

// outdated reports whether a model has other weights than the wanted ones.
func outdated(have map[string]uint64, wanted map[string]informer.Weights) bool {
	for model, version := range have {
		if w, ok := wanted[model]; ok && w.Version > version {
			return true
		}
	}
	return false
}

func (g *Upgrader) observe(u *registrar.Upstream) *observation {
	o, ok := g.seen[u.ID]
	if !ok {
		o = &observation{}
		g.seen[u.ID] = o
	}
	return o
}

func (g *Upgrader) runReport(ctx context.Context, u *registrar.Upstream, o *observation) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := g.cfg.Engines.Report(ctx, u.Address)
	g.mu.Lock()
	defer g.mu.Unlock()
	o.asking = false
	if err != nil {
		g.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "report_failed", "upstream": u.ID}).Debug("engine did not report")
		return
	}
	o.report, o.reportedAt = report, time.Now()
	if o.pending && report.Orders > o.ordered {
		o.pending = false
	}
	g.cfg.OnChange(u, o.pending || report.Busy, g.weights(u))
}

// weights returns the newest versions known of an engine: weights never go
// back within one run.
func (g *Upgrader) weights(u *registrar.Upstream) map[string]uint64 {
	o := g.seen[u.ID]
	if o == nil || o.reportedAt.IsZero() || !o.report.StartedAt.Equal(u.StartedAt) {
		return u.Weights
	}
	newest := make(map[string]uint64, len(u.Weights))
	for model, version := range u.Weights {
		newest[model] = max(version, o.report.Weights[model])
	}
	return newest
}

// input returns what the plan is made from.
func (g *Upgrader) input(now time.Time, engines []*registrar.Upstream, wanted map[string]informer.Weights) planner.Input {
	in := planner.Input{
		Policy:   checker.PlacementPolicy{MaxLoads: max((len(engines)+loadShare-1)/loadShare, 1)},
		Deadline: now.Add(orderTimeout),
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

// give sends an order in the background.
func (g *Upgrader) give(ctx context.Context, holding leaser.Holding, engines []*registrar.Upstream, o planner.Order) {
	if o.Action != planner.LoadModel {
		return
	}
	for _, u := range engines {
		if u.ID != o.Upstream {
			continue
		}
		seen := g.observe(u)
		seen.pending, seen.ordered = true, seen.report.Orders
		g.cfg.OnChange(u, true, g.weights(u))
		version, err := strconv.ParseUint(o.WeightsVersion, 10, 64)
		if err != nil {
			g.cfg.Log.WithError(err).WithField("order", o.String()).Error("version is no number")
			return
		}
		go g.runOrder(ctx, u, seen, o, Order{
			Model:   o.Model,
			Version: version,
			Holder:  g.cfg.Node,
			Fencing: holding.Fencing,
			Orders:  seen.ordered,
		})
	}
}

func (g *Upgrader) runOrder(ctx context.Context, u *registrar.Upstream, seen *observation, planned planner.Order, o Order) {
	if !sleep(ctx, noticeLead) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	now := time.Now()
	outcome, err := planner.Refused, error(nil)
	if holding, held := g.cfg.Lease.Holding(now); held && holding.Fencing == o.Fencing {
		outcome, err = g.cfg.Engines.Order(ctx, u, o)
	} else {
		err = errors.New("lease ended before the order was sent")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	entry := g.cfg.Log.WithFields(logrus.Fields{
		"event":    "order",
		"upstream": u.ID,
		"model":    o.Model,
		"version":  o.Version,
		"fencing":  o.Fencing,
		"orders":   o.Orders,
		"outcome":  outcome.String(),
		"reason":   planned.Reason,
		"took_ms":  time.Since(now).Milliseconds(),
	})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("order for new weights")
	if outcome == planner.Refused {
		seen.pending = false
		g.cfg.OnChange(u, false, g.weights(u))
		seen.reportedAt = time.Time{} // what was believed of its orders was wrong
	}
	if g.fencing == o.Fencing {
		g.planner.Settled(time.Now(), planned, outcome)
	}
}

// sleep reports whether d went by before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
