package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/routing/selector"
	"gentianstep.example/gentianstep/internal/upstream/caller"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

// PolicyChooserConfig holds what a PolicyChooser is built from.
type PolicyChooserConfig struct {
	Region           string
	AvailabilityZone string
	Policy           selector.Policy
	Log              *logrus.Entry
}

// PolicyChooser chooses engines by a selection policy and plain services in
// turn. It implements Chooser.
type PolicyChooser struct {
	cfg      PolicyChooserConfig
	beliefs  *beliefs
	services *rotation

	mu     sync.Mutex
	policy selector.Policy
}

var _ Chooser = (*PolicyChooser)(nil)

// NewPolicyChooser returns a PolicyChooser that knows of no reports.
func NewPolicyChooser(cfg PolicyChooserConfig) *PolicyChooser {
	return &PolicyChooser{cfg: cfg, beliefs: newBeliefs(), services: newRotation(), policy: cfg.Policy}
}

// Observe takes reports of engines.
func (p *PolicyChooser) Observe(reports []observer.Report) {
	p.beliefs.observe(reports)
}

// Choose implements Chooser.
func (p *PolicyChooser) Choose(_ context.Context, j Job, attempt int, excluded map[string]bool) (Choice, error) {
	request := p.request(j)
	candidates := p.beliefs.candidates(j.Bundle, j.Model, excluded)
	p.mu.Lock()
	decision := p.policy.Select(time.Now(), request, candidates)
	name := p.policy.Name()
	p.mu.Unlock()
	p.cfg.Log.WithFields(logrus.Fields{
		"event":          "route",
		"request_id":     j.ID,
		"attempt":        attempt,
		"organisation":   j.Organisation.Name,
		"model":          j.Model.Name,
		"policy":         name,
		"chosen":         decision.Chosen,
		"reason":         decision.Reason,
		"missing_blocks": decision.Missing,
		"candidates":     len(candidates),
		"costs":          decision.Costs,
	}).Info("routing decision")
	u, ok := j.Bundle.Upstream(decision.Chosen)
	if !ok {
		return Choice{}, classifier.New(classifier.NoUpstream, "no upstream serves model %s now", j.Model.Name)
	}
	return Choice{
		RequestID:     j.ID,
		Attempt:       attempt,
		Target:        caller.Target{Name: u.Name, Address: u.Address},
		MissingBlocks: decision.Missing,
	}, nil
}

// request returns what the policy needs to know of j.
func (p *PolicyChooser) request(j Job) selector.Request {
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
		Region:           p.cfg.Region,
		AvailabilityZone: p.cfg.AvailabilityZone,
		Chain:            hasher.Chain(scope, prompt),
		PromptBytes:      len(prompt),
		MaxTokens:        j.Request.MaxTokens,
		Interactive:      j.Priority == checker.Interactive,
	}
}

// ChooseService implements Chooser.
func (p *PolicyChooser) ChooseService(_ context.Context, j ServiceJob, attempt int, excluded map[string]bool) (Choice, error) {
	u, reason, ok := p.services.next(j.Bundle, j.Service, p.cfg.Region, excluded)
	p.cfg.Log.WithFields(logrus.Fields{
		"event":        "route",
		"request_id":   j.ID,
		"attempt":      attempt,
		"organisation": j.Organisation.Name,
		"service":      j.Service.Name,
		"policy":       "round_robin",
		"chosen":       u.Name,
		"reason":       reason,
		"idempotent":   j.Service.Idempotent(j.Method, j.Path),
	}).Info("routing decision")
	if !ok {
		return Choice{}, classifier.New(classifier.NoUpstream, "no upstream of service %s is left", j.Service.Name)
	}
	return Choice{
		RequestID: j.ID,
		Attempt:   attempt,
		Target:    caller.Target{Name: u.Name, Address: u.Address},
	}, nil
}

// Sent implements Chooser.
func (p *PolicyChooser) Sent(time.Time, Choice) {}

// FirstToken implements Chooser.
func (p *PolicyChooser) FirstToken(time.Time, Choice) {}

// Finished implements Chooser.
func (p *PolicyChooser) Finished(time.Time, Choice) {}

// Failed implements Chooser.
func (p *PolicyChooser) Failed(time.Time, Choice, error) {}

// Abandoned implements Chooser.
func (p *PolicyChooser) Abandoned(time.Time, Choice) {}
