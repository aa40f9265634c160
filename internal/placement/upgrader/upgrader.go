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
	// planInterval is the time between two plans. A load takes a few hundred
	// milliseconds, and its end is noticed one interval later on average.
	planInterval = 100 * time.Millisecond
	// reportTimeout limits the request for an engine's report, orderTimeout the
	// call that sends an order: ten times the round trip to another region. An
	// order without a response counts as lost once a later report shows no effect
	// of it. A retry is safe, since both orders require the same number of
	// accepted orders and only one of them can take effect.
	reportTimeout = 700 * time.Millisecond
	orderTimeout  = 300 * time.Millisecond
	// reportInterval is the time between two requests for an engine's report.
	reportInterval = 150 * time.Millisecond
	// maxReportAge is how old the content of a report may be when it is received.
	maxReportAge = 500 * time.Millisecond
	// maxEntryLag is how long an engine's entry in the store may differ from its
	// last report before another report is requested.
	maxEntryLag = 2 * time.Second
	// noticePeriod is the delay between the announcement of an order to the other
	// VMs and its sending, so that they stop sending requests that the engine
	// would refuse while it changes its weights.
	noticePeriod = 80 * time.Millisecond
	// An engine gets priority when it lacks a version for longer than
	// WeightsApply/overdueDivisor, and more when its weights are no longer used. The
	// bonus is subtracted from its number of requests in flight, since the planner
	// prefers the least loaded engines.
	overdueDivisor = 3
	overdueBonus   = 1000
	unusedBonus    = 2000
	// loadDivisor sets the number of simultaneous loads as a fraction of the
	// engines that have reported.
	loadDivisor = 3
)

// Directory provides the registered engines and the desired weights versions.
type Directory interface {
	Engines() []*registrar.Upstream
	// DesiredWeights returns the desired version of each model.
	DesiredWeights() map[string]informer.Weights
	// DesiredWeightsHistory returns the history of desired versions of model, the newest
	// last.
	DesiredWeightsHistory(model string) []informer.Weights
}

// Holder returns the lease for roll-outs if this VM holds it.
type Holder interface {
	Holding(now time.Time) (leaser.Lease, bool)
}

// Config holds the dependencies and settings of an Upgrader.
type Config struct {
	Node      string
	Directory Directory
	Lease     Holder
	Engines   EngineClient
	// OnChange is called when an engine starts or stops changing its weights,
	// and on each report.
	OnChange func(u *registrar.Upstream, changing bool, weights map[string]uint64)
	// InFlight returns the number of requests in flight at each engine.
	InFlight func() map[string]int
	// OnLease is called when this VM has acquired the lease.
	OnLease func()
	// WeightsApply is the time limit for rolling out a new version to all engines.
	WeightsApply time.Duration
	// EnginesCheckFencing is true if engines refuse orders with an outdated
	// fencing number.
	EnginesCheckFencing bool
	Log                 *logrus.Entry
}

// Upgrader rolls out weights. It runs on every VM and is active on the one that
// holds the lease.
type Upgrader struct {
	cfg Config

	mu           sync.Mutex
	fencing      uint64
	planner      *planner.Planner
	observations map[string]*observation
}

// New returns an Upgrader without observations.
func New(cfg Config) *Upgrader {
	return &Upgrader{cfg: cfg, observations: make(map[string]*observation)}
}

// Run plans and sends orders at a fixed interval until ctx is done.
func (g *Upgrader) Run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
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

// step requests reports, makes one plan and sends its orders if this VM holds
// the lease.
func (g *Upgrader) step(ctx context.Context, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	lease, held := g.cfg.Lease.Holding(now)
	if !held {
		g.fencing = 0
		return
	}
	if g.fencing != lease.Fencing {
		g.fencing = lease.Fencing
		g.planner = planner.New()
		clear(g.observations)
		g.cfg.OnLease()
	}
	if !g.cfg.EnginesCheckFencing && now.Before(lease.PriorOrdersExpireAt) {
		return
	}
	engines := g.cfg.Directory.Engines()
	wanted := g.cfg.Directory.DesiredWeights()
	g.requestReports(ctx, now, engines, wanted)
	for _, o := range g.planner.Plan(now, g.planInput(now, engines, wanted)) {
		g.startOrder(ctx, now, lease, engines, o)
	}
}

// planInput returns the input of a plan.
func (g *Upgrader) planInput(now time.Time, engines []*registrar.Upstream, wanted map[string]informer.Weights) planner.Input {
	in := planner.Input{
		Deadline: now.Add(noticePeriod + orderTimeout),
		// Old weights must not be served for long, so that a model whose only
		// engine kept them would become unavailable.
		AllowDowntime: true,
	}
	for model, w := range wanted {
		in.Models = append(in.Models, checker.Model{
			Name:                   model,
			WeightsVersion:         strconv.FormatUint(w.Version, 10),
			PreviousWeightsVersion: g.previousVersion(engines, model, w.Version),
			MinReplicas:            1,
		})
	}
	loads, reported, unused := g.cfg.InFlight(), 0, 0
	for _, u := range engines {
		e := g.engine(now, u)
		e.Load = loads[u.ID]
		if !e.Unschedulable {
			reported++
		}
		switch unusable, overdue := g.lateness(now, u); {
		case unusable:
			e.Load -= unusedBonus
			if !e.Unschedulable {
				unused++
			}
		case overdue:
			e.Load -= overdueBonus
		}
		in.Engines = append(in.Engines, e)
	}
	// Loading weights on engines that are not used takes no capacity away. An entry whose
	// engine has not reported may be of none, and adds no capacity.
	in.Policy = checker.PlacementPolicy{MaxLoads: max((reported+loadDivisor-1)/loadDivisor, 1) + unused}
	return in
}

// previousVersion returns the newest version below wanted that an engine has,
// or an empty string if there is none.
func (g *Upgrader) previousVersion(engines []*registrar.Upstream, model string, wanted uint64) string {
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

// lateness reports whether the VMs no longer use the weights of an engine, and whether
// the engine has lacked a wanted version for so long that it gets priority.
func (g *Upgrader) lateness(now time.Time, u *registrar.Upstream) (unusable, overdue bool) {
	for model, version := range g.weights(u) {
		for _, w := range g.cfg.Directory.DesiredWeightsHistory(model) {
			if w.Version <= version {
				continue
			}
			unusable = unusable || !now.Before(w.OlderUsableUntil(g.cfg.WeightsApply))
			overdue = overdue || now.Sub(w.Since) > g.cfg.WeightsApply/overdueDivisor
		}
	}
	return unusable, overdue
}

// engine converts the observation of u to the planner's form.
func (g *Upgrader) engine(now time.Time, u *registrar.Upstream) planner.Engine {
	o := g.observationOf(u)
	e := planner.Engine{
		Upstream:    u.ID,
		Incarnation: uint64(u.StartedAt.UnixMilli()),
		// Without a report of this incarnation, the number of accepted orders that
		// an order must state is unknown.
		Unschedulable: o.reportedAt.IsZero() || !o.report.StartedAt.Equal(u.StartedAt),
		SeenAt:        now,
	}
	if o.pending {
		// The report does not show the order yet, and its content may be up to
		// maxReportAge old.
		e.SeenAt = o.reportedAt.Add(-maxReportAge)
	}
	for model, version := range g.weights(u) {
		e.Allowed = append(e.Allowed, model)
		loaded := planner.ModelVersion{Model: model, WeightsVersion: strconv.FormatUint(version, 10)}
		if o.report.Busy {
			e.Loading = append(e.Loading, loaded)
			continue
		}
		e.Ready = append(e.Ready, loaded)
	}
	return e
}
