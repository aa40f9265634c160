// Package loader drives routers with seeded workloads and counts what comes back.
package loader

import (
	"fmt"
	"time"
)

// Level is one level of nested shared prefixes.
type Level struct {
	Name string
	// Blocks is the length of its part of the prompt.
	Blocks int
	// Branches is the number of different parts under one parent.
	Branches int
	// Skew is the exponent of their popularity, above 1.
	Skew float64
}

// Workload is the shape of the traffic of one deployment.
type Workload struct {
	Name    string
	Model   string
	Workers int
	Regions []string
	// Organisations is the number of organisations, OrganisationSkew the
	// exponent of their sizes.
	Organisations    int
	OrganisationSkew float64
	Levels           []Level
	// HomeLevel is the level whose branch has a home region, which its callers
	// reach first; HomeShare is the share of requests that arrive there.
	HomeLevel int
	HomeShare float64
	// TailBlocks is the part of a prompt that no other request shares.
	TailBlocks int
	MaxTokens  int
	// BatchShare is the share of requests that are batch work.
	BatchShare     float64
	BatchMaxTokens int
	// ShiftInterval is the time after which other branches become popular.
	ShiftInterval time.Duration
	// PrefillPerBlock is the time of an engine to compute one block.
	PrefillPerBlock time.Duration
	// RecomputePrice is the bundle's price for blocks that are computed again.
	RecomputePrice float64
	// Rate is the number of requests a second at full committed capacity.
	Rate float64
}

// Vloerkuns matches photos to catalogue sheets, all of it interactive.
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

// Cyngor judges long site histories, with short notes tagged as batch work.
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

// Find returns the workload of that name.
func Find(name string) (Workload, error) {
	for _, w := range []Workload{Vloerkuns(), Cyngor()} {
		if w.Name == name {
			return w, nil
		}
	}
	return Workload{}, fmt.Errorf("workload: got %q, takes vloerkuns or cyngor", name)
}

// OrganisationName returns the name of organisation i.
func (w Workload) OrganisationName(i int) string {
	return fmt.Sprintf("%s-%d", w.Name, i+1)
}

// CallerKey returns the key of the callers of organisation i.
func (w Workload) CallerKey(i int) string {
	return fmt.Sprintf("key-of-%s-%d", w.Name, i+1)
}
