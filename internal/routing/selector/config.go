package selector

import (
	"math/rand/v2"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// Config is what a policy is made from.
type Config struct {
	// Selection holds the name and the weights of the policy.
	Selection checker.SelectionPolicy
	// MaxEjected is the share of suspect candidates above which health counts
	// as unknown and none is left out; 0 stands for 1.
	MaxEjected float64
	// Random is the source of every random choice of the policy.
	Random *rand.Rand
}

// New returns the policy that cfg names.
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
