package chooser

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/routing/estimator"
	"gentianstep.example/gentianstep/internal/routing/selector"
	"gentianstep.example/gentianstep/internal/serving/dispatcher"
	"gentianstep.example/gentianstep/internal/upstream/caller"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

// Chooser implements dispatcher.Chooser.
type Chooser struct {
	cfg      Config
	services *rotation

	mu       sync.Mutex
	bundle   *checker.Bundle
	policy   selector.Policy
	loads    *estimator.Estimator
	reports  map[string]observer.Report
	tickets  map[attemptKey]estimator.Ticket
	scratch  []selector.Candidate
	previous checker.SelectionPolicy
}

// attemptKey names one attempt at one request.
type attemptKey struct {
	request string
	attempt int
}

var _ dispatcher.Chooser = (*Chooser)(nil)

// New returns a Chooser that knows of no bundle and no report.
func New(cfg Config) *Chooser {
	return &Chooser{
		cfg:      cfg,
		services: newRotation(),
		policy:   &selector.RoundRobin{},
		loads:    estimator.New(estimator.Config{}),
		reports:  make(map[string]observer.Report),
		tickets:  make(map[attemptKey]estimator.Ticket),
	}
}

// Bundle puts the upstreams and the policy of a new bundle in force.
func (c *Chooser) Bundle(b *checker.Bundle) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bundle = b
	c.loads.SetUpstreams(engines(b))
	if c.previous == b.Policy.Selection {
		return
	}
	policy, err := selector.New(selector.Config{
		Selection:  b.Policy.Selection,
		MaxEjected: b.Policy.Attempts.MaxEjected,
		Random:     rand.New(rand.NewPCG(c.cfg.Seed, b.Version)),
	})
	if err != nil {
		c.cfg.Log.WithError(err).Error("selection policy refused")
		return
	}
	c.policy = policy
	c.previous = b.Policy.Selection
}

func engines(b *checker.Bundle) []estimator.Upstream {
	var list []estimator.Upstream
	for _, u := range b.Upstreams {
		if u.Kind != checker.Engine {
			continue
		}
		list = append(list, estimator.Upstream{
			Name:             u.Name,
			Region:           u.Region,
			AvailabilityZone: u.AvailabilityZone,
			Slots:            u.Slots,
		})
	}
	return list
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
	holdings, known := c.lookup(ctx, j, request)
	now := time.Now()
	c.mu.Lock()
	decision := c.decide(now, j, request, holdings, excluded)
	c.mu.Unlock()
	c.log(j, attempt, decision, known)
	u, ok := j.Bundle.Upstream(decision.Chosen)
	if !ok {
		return dispatcher.Choice{}, classifier.New(classifier.NoUpstream, "no upstream serves model %s now", j.Model.Name)
	}
	return dispatcher.Choice{
		RequestID:     j.ID,
		Attempt:       attempt,
		Target:        caller.Target{Name: u.Name, Address: u.Address},
		MissingBlocks: decision.Missing,
	}, nil
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
func (c *Chooser) lookup(ctx context.Context, j dispatcher.Job, r selector.Request) ([]indexer.Holding, bool) {
	checkpoints := hasher.Checkpoints(r.Chain)
	if len(checkpoints) == 0 || c.cfg.Index == nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, j.Bundle.Policy.Selection.LookupTimeout.Std())
	defer cancel()
	return c.cfg.Index.Lookup(ctx, checkpoints)
}

func (c *Chooser) decide(now time.Time, j dispatcher.Job, r selector.Request, holdings []indexer.Holding, excluded map[string]bool) selector.Decision {
	accept := func(upstream string) bool {
		return !excluded[upstream] && c.serves(j, upstream)
	}
	c.scratch = c.loads.Candidates(now, c.scratch, accept)
	c.loads.Hold(c.scratch, holdings)
	return c.policy.Select(now, r, c.scratch)
}

// serves reports whether an upstream may take j. An engine without a report
// counts as ready, so that a router that has heard of nothing yet serves.
func (c *Chooser) serves(j dispatcher.Job, upstream string) bool {
	report, known := c.reports[upstream]
	if !known {
		return true
	}
	return !report.Leaving && report.Serves(j.Model.Name, j.Model.WeightsVersion)
}

// Sent implements dispatcher.Chooser.
func (c *Chooser) Sent(now time.Time, choice dispatcher.Choice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tickets[keyOf(choice)] = c.loads.Sent(now, estimator.Send{
		Upstream: choice.Target.Name,
		Blocks:   choice.MissingBlocks,
	})
}

func keyOf(choice dispatcher.Choice) attemptKey {
	return attemptKey{request: choice.RequestID, attempt: choice.Attempt}
}

// FirstToken implements dispatcher.Chooser.
func (c *Chooser) FirstToken(now time.Time, choice dispatcher.Choice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads.FirstToken(now, c.tickets[keyOf(choice)], choice.MissingBlocks)
}

// Finished implements dispatcher.Chooser.
func (c *Chooser) Finished(now time.Time, choice dispatcher.Choice) { c.end(now, choice) }

// Failed implements dispatcher.Chooser.
func (c *Chooser) Failed(now time.Time, choice dispatcher.Choice, _ error) { c.end(now, choice) }

// Abandoned implements dispatcher.Chooser.
func (c *Chooser) Abandoned(now time.Time, choice dispatcher.Choice) { c.end(now, choice) }

func (c *Chooser) end(now time.Time, choice dispatcher.Choice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := keyOf(choice)
	c.loads.Done(now, c.tickets[key])
	delete(c.tickets, key)
}

func (c *Chooser) log(j dispatcher.Job, attempt int, d selector.Decision, indexKnown bool) {
	c.cfg.Log.WithFields(logrus.Fields{
		"event":          "route",
		"request_id":     j.ID,
		"attempt":        attempt,
		"organisation":   j.Organisation.Name,
		"model":          j.Model.Name,
		"bundle_version": j.Bundle.Version,
		"policy":         d.Policy,
		"chosen":         d.Chosen,
		"reason":         d.Reason,
		"considered":     d.Considered,
		"suspects":       d.Suspects,
		"missing_blocks": d.Missing,
		"held_elsewhere": d.HeldElsewhere,
		"crossing":       d.Crossing,
		"index_known":    indexKnown,
		"costs":          d.Costs,
	}).Info("routing decision")
}
