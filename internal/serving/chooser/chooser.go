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
	"gentianstep.example/gentianstep/internal/routing/throttler"
	"gentianstep.example/gentianstep/internal/serving/dispatcher"
	"gentianstep.example/gentianstep/internal/upstream/caller"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

// maxAbandoned is the size of Chooser.abandoned.
const maxAbandoned = 4096

// Chooser implements dispatcher.Chooser and dispatcher.Pinner. It is safe for
// concurrent use.
type Chooser struct {
	cfg      Config
	services *rotation

	mu     sync.Mutex
	policy selector.Policy
	loads  *estimator.Estimator
	// recent records the prefixes that this router recently sent to each
	// upstream, which the prefix index does not list yet.
	recent      *coalescer.Coalescer
	prefixRates *replicator.Replicator
	exports     *exportTracker
	health      *retrier.Retrier
	reports     map[string]observer.Report
	inFlight    map[attemptKey]attemptState
	// returns holds the times at which refused callers of each model and service come back,
	// for those with limits.
	returns map[string]*throttler.Returns
	// abandoned holds the IDs of requests whose last attempt was abandoned. The
	// next attempt does not use the retry budget.
	abandoned *simplelru.LRU[string, struct{}]
	// candidates and holdings are buffers that are reused between selections.
	candidates []selector.Candidate
	holdings   []indexer.Holding
	// selection is the configuration of policy.
	selection checker.SelectionPolicy
}

var _ dispatcher.Chooser = (*Chooser)(nil)

// New returns a Chooser without a bundle and without reports.
func New(cfg Config) (*Chooser, error) {
	prefixRates, err := replicator.New(replicator.Config{})
	if err != nil {
		return nil, fmt.Errorf("create replicator: %w", err)
	}
	exports, err := newExportTracker()
	if err != nil {
		return nil, fmt.Errorf("create export tracker: %w", err)
	}
	abandoned, err := simplelru.NewLRU[string, struct{}](maxAbandoned, nil)
	if err != nil {
		return nil, fmt.Errorf("create LRU of abandoned requests: %w", err)
	}
	return &Chooser{
		abandoned:   abandoned,
		cfg:         cfg,
		services:    newRotation(),
		policy:      &selector.RoundRobin{},
		loads:       estimator.New(estimator.Config{PeerFactor: peerFactor(cfg.Routers)}),
		recent:      coalescer.New(coalescer.Config{}),
		prefixRates: prefixRates,
		exports:     exports,
		health:      retrier.New(retrier.Config{Seed: cfg.Seed}),
		reports:     make(map[string]observer.Report),
		inFlight:    make(map[attemptKey]attemptState),
		returns:     make(map[string]*throttler.Returns),
	}, nil
}

// peerFactor returns the number of requests by which the estimated load of an
// upstream grows per request of this router until the next report. It exceeds 1
// because other routers send to the same upstreams.
func peerFactor(routers int) float64 {
	return 1 + float64(max(routers, 1)-1)/8
}

// RecordReports records load reports of engines. A report of an earlier incarnation,
// or older than the last one, is ignored.
func (c *Chooser) RecordReports(reports []observer.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range reports {
		used := c.loads.ApplyReport(estimator.Report{
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
	request := c.selectionRequest(j)
	checkpoints := hasher.Checkpoints(request.Chain)
	holdings, known := c.lookupIndex(ctx, j, checkpoints)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.admitAttempt(now, j.ID, attempt); err != nil {
		return dispatcher.Choice{}, err
	}
	decision, plan := c.selectUpstream(now, j, request, checkpoints, holdings, excluded)
	c.logDecision(j, attempt, decision, plan, known)
	u, ok := j.Bundle.Upstream(decision.Chosen)
	if !ok {
		return dispatcher.Choice{}, c.noCandidate(now, j.Model.Name, engineNames(j.Bundle), func(upstream string) bool { return c.serves(j, upstream) },
			classifier.New(classifier.NoUpstream, "no upstream serves model %s now", j.Model.Name))
	}
	c.inFlight[attemptKey{request: j.ID, attempt: attempt}] = attemptState{
		model:         j.Model.Name,
		checkpoints:   checkpoints,
		wait:          decision.Wait(),
		prefillBlocks: plan.prefillBlocks,
		export:        plan.export,
	}
	return dispatcher.Choice{
		RequestID:     j.ID,
		Attempt:       attempt,
		Target:        caller.Target{Name: u.Name, Address: u.Address},
		MissingBlocks: decision.MissingBlocks,
		ImportBlocks:  plan.importBlocks,
		Export:        plan.export != nil,
	}, nil
}

// admitAttempt returns an error if attempt is a retry that the maximum number of
// attempts or the retry budget does not allow. A first attempt adds its share to
// the budget. A retry after an abandoned attempt, such as one on a stale pooled
// connection, is free: no upstream failed, and the retry adds no load.
func (c *Chooser) admitAttempt(now time.Time, request string, attempt int) error {
	if c.abandoned.Remove(request) {
		return nil
	}
	if attempt == 1 {
		c.health.RecordRequest(now)
		return nil
	}
	d := c.health.DecideRetry(now, retrier.Request{Attempts: attempt - 1, Idempotent: true}, retrier.Failure{Origin: retrier.FromUpstream})
	if d.Retry {
		return nil
	}
	err := classifier.New(classifier.UpstreamFailed, "no retry is left: %s", d.Reason)
	err.RetryAt = d.RetryAt
	return err
}

// selectionRequest converts j to the request of the selection policy.
func (c *Chooser) selectionRequest(j dispatcher.Job) selector.Request {
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

// lookupIndex queries the prefix index with the lookup timeout of the bundle. It
// returns false if no reply arrived in time.
func (c *Chooser) lookupIndex(ctx context.Context, j dispatcher.Job, checkpoints []hasher.Hash) ([]indexer.Holding, bool) {
	if len(checkpoints) == 0 || c.cfg.Index == nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, j.Bundle.Policy.Selection.LookupTimeout.Std())
	defer cancel()
	return c.cfg.Index.Lookup(ctx, checkpoints)
}

// selectUpstream builds the candidates from the load, cache and health estimates
// and applies the selection policy. It returns the decision and the cache
// transfers to request from the chosen upstream.
func (c *Chooser) selectUpstream(now time.Time, j dispatcher.Job, r selector.Request, checkpoints []hasher.Hash, holdings []indexer.Holding, excluded map[string]bool) (selector.Decision, transferPlan) {
	affinity := c.prefixRates.Observe(now, checkpoints)
	r.HomeBlocks = affinity.HomeBlocks
	r.SharedBlocks = affinity.SharedBlocks
	r.Replicas = affinity.Replicas
	accept := func(upstream string) bool {
		return !excluded[upstream] && c.canServe(j, upstream)
	}
	c.candidates = c.loads.Candidates(now, c.candidates, accept)
	c.loads.AddHoldings(c.candidates, holdings)
	c.holdings = c.recent.Lookup(now, checkpoints, c.holdings[:0])
	c.loads.AddHoldings(c.candidates, c.holdings)
	c.markSuspects(now)
	c.exports.setImportable(now, j.Bundle, r, checkpoints, c.candidates)
	decision := c.policy.Select(now, r, c.candidates)
	return decision, c.exports.plan(now, j.Bundle, r, c.candidates, decision)
}

// markSuspects marks the candidates that are in the cooldown after failures.
func (c *Chooser) markSuspects(now time.Time) {
	for i := range c.candidates {
		c.candidates[i].Suspect = !c.health.Health(now, c.candidates[i].Name).Usable()
	}
}
