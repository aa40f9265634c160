package hoster

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/standin/loader"
)

const (
	maxPromptBytes = 1 << 20
	maxTokens      = 4096
)

// Bundle returns a bundle for the plan with the given selection policy.
func (p Plan) Bundle(w loader.Workload, version uint64, selection checker.SelectionPolicy) *checker.Bundle {
	b := &checker.Bundle{
		Deployment: p.Workload,
		Version:    version,
		Models: []checker.Model{{
			Name:              w.Model,
			WeightsVersion:    "w1",
			MinReplicas:       1,
			ContinueElsewhere: true,
			MaxPromptBytes:    maxPromptBytes,
			MaxTokens:         maxTokens,
		}},
		Policy: newPolicy(selection),
	}
	for _, region := range w.Regions {
		b.Regions = append(b.Regions, checker.Region{Name: region, AvailabilityZones: []string{region + "1"}})
	}
	for i := range w.Organisations {
		b.Organisations = append(b.Organisations, checker.Organisation{
			Name:      w.OrganisationName(i),
			KeyHashes: []string{checker.KeyHash(w.CallerKey(i))},
			Weight:    1,
			Priority:  checker.Interactive,
		})
	}
	for _, e := range p.Engines {
		b.Upstreams = append(b.Upstreams, checker.Upstream{
			Name:             e.Name,
			Kind:             checker.Engine,
			Address:          e.Address,
			Region:           e.Region,
			AvailabilityZone: e.Region + "1",
			Models:           []string{w.Model},
			Slots:            p.Slots,
		})
	}
	return b
}

// ParseSelectionPolicy returns the selection policy named by text, with the
// recompute price of the workload. A suffix "=N" of text overrides that price.
func ParseSelectionPolicy(w loader.Workload, text string) (checker.SelectionPolicy, error) {
	name, price, hasPrice := strings.Cut(text, "=")
	s := checker.SelectionPolicy{
		Name:            name,
		RecomputePrice:  w.RecomputePrice,
		CrossingPrice:   checker.Duration(200 * time.Millisecond),
		CrossingLatency: checker.Duration(15 * time.Millisecond),
		LookupTimeout:   checker.Duration(10 * time.Millisecond),
	}
	if !hasPrice {
		return s, nil
	}
	value, err := strconv.ParseFloat(price, 64)
	if err != nil {
		return s, fmt.Errorf("parse recompute price of policy %q: %w", text, err)
	}
	s.RecomputePrice = value
	return s, nil
}

func newPolicy(selection checker.SelectionPolicy) checker.Policy {
	return checker.Policy{
		Selection: selection,
		Admission: checker.AdmissionPolicy{
			QueueLength:  256,
			MaxWait:      checker.Duration(3 * time.Second),
			BatchMaxWait: checker.Duration(time.Minute),
			BatchShare:   0.5,
		},
		Attempts: checker.AttemptPolicy{
			MaxAttempts: 3,
			RetryBudget: 0.1,
			Cooldown:    checker.Duration(5 * time.Second),
			MaxEjected:  0.5,
		},
		Streams: checker.StreamPolicy{
			FirstByteTimeout:   checker.Duration(30 * time.Second),
			IdleTimeout:        checker.Duration(30 * time.Second),
			TotalTimeout:       checker.Duration(2 * time.Minute),
			CallerWriteTimeout: checker.Duration(10 * time.Second),
			MaxResumes:         3,
		},
		Placement: checker.PlacementPolicy{
			MaxLoads:     3,
			LeaseTTL:     checker.Duration(10 * time.Second),
			OrderTimeout: checker.Duration(5 * time.Second),
			MinDwell:     checker.Duration(30 * time.Second),
		},
	}
}
