// Package loader sends seeded workloads to routers and counts the results.
package loader

import (
	"fmt"
	"time"
)

// Level describes one level of nested shared prefixes.
type Level struct {
	Name string
	// Blocks is the length of the level's part of the prompt.
	Blocks int
	// Branches is the number of distinct parts under one parent.
	Branches int
	// Skew is the Zipf exponent of the popularity of branches, above 1.
	Skew float64
}

// Workload describes the traffic of one deployment.
type Workload struct {
	Name    string
	Model   string
	Workers int
	Regions []string
	// Organisations is the number of organisations, OrganisationSkew the Zipf
	// exponent of their request rates.
	Organisations    int
	OrganisationSkew float64
	Levels           []Level
	// HomeLevel is the level whose branch determines the home region of a request.
	// HomeShare is the share of requests that are sent to a router there; the rest go
	// to any router.
	HomeLevel int
	HomeShare float64
	// TailBlocks is the length of the part of a prompt that is unique to a request.
	TailBlocks int
	MaxTokens  int
	// BatchShare is the share of requests with batch priority.
	BatchShare     float64
	BatchMaxTokens int
	// ShiftInterval is the interval at which the popularity of branches shifts by one
	// branch.
	ShiftInterval time.Duration
	// PrefillPerBlock is the prefill time of an engine for one block.
	PrefillPerBlock time.Duration
	// RecomputePrice is the price in the bundle for recomputing cached blocks.
	RecomputePrice float64
	// Rate is the request rate per second at full committed capacity.
	Rate float64
}

// Vloerkuns returns a workload that matches photos to catalogue sheets. All of its
// requests are interactive.
func Vloerkuns() Workload {
	return Workload{
		Name:             "vloerkuns",
		Model:            "tile-match",
		Workers:          20,
		Regions:          []string{"jhb-a", "cpt-a", "dbn-a"},
		Organisations:    8,
		OrganisationSkew: 1.3,
		Levels: []Level{
			{Name: "catalogue", Blocks: 24, Branches: 3, Skew: 2.5},
			{Name: "range", Blocks: 16, Branches: 10, Skew: 1.3},
			{Name: "customer", Blocks: 20, Branches: 30, Skew: 1.2},
		},
		HomeLevel:       2,
		HomeShare:       0.95,
		TailBlocks:      2,
		MaxTokens:       24,
		ShiftInterval:   15 * time.Second,
		PrefillPerBlock: 4 * time.Millisecond,
		RecomputePrice:  6,
		Rate:            150,
	}
}

// Cyngor returns a workload that assesses long site histories, with short notes as
// batch requests.
func Cyngor() Workload {
	return Workload{
		Name:             "cyngor",
		Model:            "cynorthwyydd",
		Workers:          12,
		Regions:          []string{"gogledd-a", "canolbarth-a", "de-a"},
		Organisations:    8,
		OrganisationSkew: 1.3,
		Levels: []Level{
			{Name: "region", Blocks: 12, Branches: 3, Skew: 1.3},
			{Name: "site", Blocks: 60, Branches: 40, Skew: 1.2},
			{Name: "job", Blocks: 16, Branches: 4, Skew: 1.2},
		},
		HomeLevel:       0,
		HomeShare:       0.95,
		TailBlocks:      2,
		MaxTokens:       24,
		BatchShare:      0.3,
		BatchMaxTokens:  8,
		ShiftInterval:   time.Minute,
		PrefillPerBlock: 2 * time.Millisecond,
		RecomputePrice:  8,
		Rate:            90,
	}
}

// Find returns the workload with the given name.
func Find(name string) (Workload, error) {
	for _, w := range []Workload{Vloerkuns(), Cyngor()} {
		if w.Name == name {
			return w, nil
		}
	}
	return Workload{}, fmt.Errorf("workload: got %q, want vloerkuns or cyngor", name)
}

// OrganisationName returns the name of organisation i.
func (w Workload) OrganisationName(i int) string {
	return fmt.Sprintf("%s-%d", w.Name, i+1)
}

// CallerKey returns the API key of the callers of organisation i.
func (w Workload) CallerKey(i int) string {
	return fmt.Sprintf("key-of-%s-%d", w.Name, i+1)
}
