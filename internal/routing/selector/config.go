package selector

import (
	"math/rand/v2"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// Config holds the parameters of a policy.
type Config struct {
	// Selection holds the name and the cost weights of the policy.
	Selection checker.SelectionPolicy
	// MaxEjected is the share of suspect candidates up to which they are
	// excluded. Above it the health information is ignored and all candidates
	// are eligible. 0 means 1.
	MaxEjected float64
	// Random is the random source of the policy; it must be set.
	Random *rand.Rand
}

// New returns the policy with the name in cfg.Selection. It fails if that name
// is unknown or cfg.Random is nil.
func New(cfg Config) (Policy, error) {
	if cfg.Random == nil {
		return nil, classifier.New(classifier.Internal, "selector: no random source")
	}
	if cfg.MaxEjected <= 0 {
		cfg.MaxEjected = 1
	}
	switch cfg.Selection.Name {
	case nameRoundRobin:
		return &RoundRobin{}, nil
	case nameLeastLoaded:
		return &LeastLoaded{cfg: cfg}, nil
	case namePrefixHash:
		return &PrefixHash{cfg: cfg}, nil
	case namePrefixCost:
		return &PrefixCost{cfg: cfg}, nil
	}
	return nil, classifier.New(classifier.BundleInvalid, "policy.selection.name: got %q", cfg.Selection.Name)
}
