package chooser

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/caching/coalescer"
	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/routing/estimator"
	"gentianstep.example/gentianstep/internal/routing/replicator"
	"gentianstep.example/gentianstep/internal/routing/retrier"
	"gentianstep.example/gentianstep/internal/routing/selector"
	"gentianstep.example/gentianstep/internal/serving/dispatcher"
	"gentianstep.example/gentianstep/internal/upstream/caller"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

// maxBlameless bounds the requests that are remembered as abandoned once.
const maxBlameless = 4096

// Chooser implements dispatcher.Chooser.
type Chooser struct {
	cfg      Config
	services *rotation

	mu      sync.Mutex
	policy  selector.Policy
	loads   *estimator.Estimator
	own     *coalescer.Coalescer
	heat    *replicator.Replicator
	kept    *kept
	health  *retrier.Retrier
	reports map[string]observer.Report
	flights map[attemptKey]flight
	// blameless names the requests whose last attempt was abandoned.
	blameless *simplelru.LRU[string, struct{}]
	scratch   []selector.Candidate
	holdings  []indexer.Holding
	previous  checker.SelectionPolicy
}

var _ dispatcher.Chooser = (*Chooser)(nil)

// New returns a Chooser that knows of no bundle and no report.
func New(cfg Config) (*Chooser, error) {
	heat, err := replicator.New(replicator.Config{})
	if err != nil {
		return nil, fmt.Errorf("replicator: %w", err)
	}
	memory, err := newKept()
	if err != nil {
		return nil, fmt.Errorf("kept cache: %w", err)
	}
	blameless, err := simplelru.NewLRU[string, struct{}](maxBlameless, nil)
	if err != nil {
		return nil, fmt.Errorf("abandoned attempts: %w", err)
	}
	return &Chooser{
		blameless: blameless,
		cfg:       cfg,
		services:  newRotation(),
		policy:    &selector.RoundRobin{},
		loads:     estimator.New(estimator.Config{PeerFactor: peerFactor(cfg.Routers)}),
		own:       coalescer.New(coalescer.Config{}),
		heat:      heat,
		kept:      memory,
		health:    retrier.New(retrier.Config{Seed: cfg.Seed}),
		reports:   make(map[string]observer.Report),
		flights:   make(map[attemptKey]flight),
	}, nil
}

// peerFactor is the number of requests that one own send stands for between
// two reports, since other routers send to the same upstreams.
func peerFactor(routers int) float64 {
	return 1 + float64(max(routers, 1)-1)/8
}

// Reports takes reports of engines.
func (c *Chooser) Reports(reports []observer.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range reports {
		used := c.loads.Report(estimator.Report{
			Upstream:     r.Upstream,
			Incarnation:  r.Incarnation,
			Queued:       r.Queued,
			Running:      r.Running,
			QueuedBlocks: r.QueuedBlocks,
			ReportedAt:   r.At,
		})
		if used {
			c.reports[r.Upstream] = r
		}
	}
}

// Choose implements dispatcher.Chooser.
func (c *Chooser) Choose(ctx context.Context, j dispatcher.Job, attempt int, excluded map[string]bool) (dispatcher.Choice, error) {
	request := c.request(j)
	checkpoints := hasher.Checkpoints(request.Chain)
	holdings, known := c.lookup(ctx, j, checkpoints)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.afford(now, j.ID, attempt); err != nil {
		return dispatcher.Choice{}, err
	}
	decision, offer := c.decide(now, j, request, checkpoints, holdings, excluded)
	c.log(j, attempt, decision, offer, known)
	u, ok := j.Bundle.Upstream(decision.Chosen)
	if !ok {
		return dispatcher.Choice{}, classifier.New(classifier.NoUpstream, "no upstream serves model %s now", j.Model.Name)
	}
	c.flights[attemptKey{request: j.ID, attempt: attempt}] = flight{
		model:       j.Model.Name,
		checkpoints: checkpoints,
		wait:        decision.Wait(),
		computed:    offer.computed,
		export:      offer.export,
	}
	return dispatcher.Choice{
		RequestID:     j.ID,
		Attempt:       attempt,
		Target:        caller.Target{Name: u.Name, Address: u.Address},
		MissingBlocks: decision.MissingBlocks,
		ImportBlocks:  offer.importBlocks,
		Export:        offer.export != nil,
	}, nil
}

// afford takes a retry from the budget; a first attempt earns its share. An
// attempt after one for which no upstream is to blame, such as one on a
// connection that had gone stale, costs nothing: it adds no load.
func (c *Chooser) afford(now time.Time, request string, attempt int) error {
	if attempt == 1 {
		c.health.Start(now)
		return nil
	}
	if c.blameless.Remove(request) {
		return nil
	}
	d := c.health.Next(now, retrier.Request{Attempts: attempt - 1, Idempotent: true}, retrier.Failure{Origin: retrier.FromUpstream})
	if d.Retry {
		return nil
	}
	err := classifier.New(classifier.UpstreamFailed, "no retry is left: %s", d.Reason)
	err.RetryAt = d.RetryAt
	return err
}

// request returns what a policy needs to know of j.
func (c *Chooser) request(j dispatcher.Job) selector.Request {
	scope := hasher.Scope{
		Organisation:   j.Organisation.Name,
		Model:          j.Model.Name,
		WeightsVersion: j.Model.WeightsVersion,
	}
	prompt := j.Request.Text()
	return selector.Request{
		ID:               j.ID,
		Organisation:     j.Organisation.Name,
		Model:            j.Model.Name,
		WeightsVersion:   j.Model.WeightsVersion,
		Region:           c.cfg.Region,
		AvailabilityZone: c.cfg.AvailabilityZone,
		Chain:            hasher.Chain(scope, prompt),
		PromptBytes:      len(prompt),
		MaxTokens:        j.Request.MaxTokens,
		Interactive:      j.Priority == checker.Interactive,
	}
}

// lookup asks the prefix index, for no longer than the bundle allows.
func (c *Chooser) lookup(ctx context.Context, j dispatcher.Job, checkpoints []hasher.Hash) ([]indexer.Holding, bool) {
	if len(checkpoints) == 0 || c.cfg.Index == nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, j.Bundle.Policy.Selection.LookupTimeout.Std())
	defer cancel()
	return c.cfg.Index.Lookup(ctx, checkpoints)
}

// decide joins what is believed of loads, caches and health for the policy.
func (c *Chooser) decide(now time.Time, j dispatcher.Job, r selector.Request, checkpoints []hasher.Hash, holdings []indexer.Holding, excluded map[string]bool) (selector.Decision, offer) {
	heat := c.heat.Observe(now, checkpoints)
	r.HomeBlocks = heat.HomeBlocks
	r.SharedBlocks = heat.SharedBlocks
	r.Replicas = heat.Replicas
	accept := func(upstream string) bool {
		return !excluded[upstream] && c.serves(j, upstream)
	}
	c.scratch = c.loads.Candidates(now, c.scratch, accept)
	c.loads.Hold(c.scratch, holdings)
	c.holdings = c.own.Lookup(now, checkpoints, c.holdings[:0])
	c.loads.Hold(c.scratch, c.holdings)
	c.markSuspects(now)
	c.kept.offer(now, j.Bundle, r, checkpoints, c.scratch)
	decision := c.policy.Select(now, r, c.scratch)
	return decision, c.kept.answer(now, j.Bundle, r, c.scratch, decision)
}

// markSuspects marks the candidates that cool down after failures.
func (c *Chooser) markSuspects(now time.Time) {
	for i := range c.scratch {
		c.scratch[i].Suspect = !c.health.Health(now, c.scratch[i].Name).Usable()
	}
}

// mayServe reports whether an upstream gets new work at all.
func (c *Chooser) mayServe(upstream string) bool {
	return c.cfg.Upstreams == nil || c.cfg.Upstreams.Serves(upstream)
}

// serves reports whether an upstream may take j. An engine without a report
// counts as ready, so that a router that has heard of nothing yet serves.
func (c *Chooser) serves(j dispatcher.Job, upstream string) bool {
	if !c.mayServe(upstream) {
		return false
	}
	report, known := c.reports[upstream]
	if !known {
		return true
	}
	return !report.Leaving && report.Serves(j.Model.Name, j.Model.WeightsVersion)
}
