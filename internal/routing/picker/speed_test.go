package picker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/caching/cataloguer"
	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/routing/picker"
)

// TestDecisionsAtUnevenSpeeds guards against choices that treat slow and fast engines alike.
func TestDecisionsAtUnevenSpeeds(t *testing.T) {
	t.Parallel()
	checkDecisions(t, "testdata/speeds.json")
}

// homesAt returns the homes of long prompts at 18 engines of the given speeds.
func homesAt(speed func(*registrar.Upstream) float64) []string {
	upstreams := make([]*registrar.Upstream, 0, 18)
	for n := range 18 {
		upstreams = append(upstreams, &registrar.Upstream{ID: fmt.Sprint("u", n), AvailabilityZone: "z1", Slots: 24})
	}
	p := picker.New(picker.Config{AvailabilityZone: "z1", Regions: regions, Seed: 1})
	var homes []string
	for prompt := range 900 {
		c := p.Choose(time.Unix(1_700_000_000, 0), picker.Query{Upstreams: upstreams, Limits: limitsOf(24), Speed: speed, Prompt: &picker.Prompt{
			Shared: []picker.SharedPart{{ID: fmt.Sprint("subject ", prompt), Tokens: 13_000}},
			// The part that is not shared is empty, and that of the home is the lowest cost.
			Tokens:         13_000,
			WeightsVersion: func(*registrar.Upstream) uint64 { return 1 },
			Scope:          func(uint64) string { return "@1" },
			Holders:        func(cataloguer.Part) map[string]cataloguer.Holding { return nil },
		}})
		if c.Reason == picker.PrefixHome {
			homes = append(homes, c.Upstream.ID)
		} else {
			homes = append(homes, "")
		}
	}
	return homes
}

// TestHomesMoveRarely guards against homes that move with each sample, or that move between
// engines whose speed has not changed.
func TestHomesMoveRarely(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	at := func(factor float64) func(*registrar.Upstream) float64 {
		return func(u *registrar.Upstream) float64 {
			if u.ID == "u3" {
				return factor
			}
			return 1
		}
	}
	equal := homesAt(nil)
	is.Equal(homesAt(at(1.1)), equal)
	is.Equal(homesAt(at(0.9)), equal)
	moved := 0
	for n, home := range homesAt(at(0.8)) {
		if home != equal[n] {
			is.Equal(equal[n], "u3")
			moved++
		}
	}
	is.True(moved > 0)
}

// TestUnseenWorkFollowsSpeed guards against VMs that together send a slow engine as much as a
// fast one within the time in which they do not see each other's loads.
func TestUnseenWorkFollowsSpeed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	row := decisionRow{OwnTokens: 500, Upstreams: []upstreamRow{
		{ID: "slow", AvailabilityZone: "z1", Weights: 1, Speed: 0.6},
		{ID: "fast", AvailabilityZone: "z1", Weights: 1, Speed: 1.6},
	}}
	p := picker.New(picker.Config{AvailabilityZone: "z1", Regions: regions, Seed: 1})
	q := query(row)
	q.OtherVMs, q.LoadAge = 50, 200*time.Millisecond
	now := time.Unix(1_700_000_000, 0)
	counts := make(map[string]int)
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		c := p.Choose(now, q)
		p.RecordSent(now, q, c)
		p.EndPrefill(c)
		p.EndRequest(c)
		counts[c.Upstream.ID]++
	}
	ratio := float64(counts["fast"]) / float64(counts["slow"])
	is.True(ratio > 2.2 && ratio < 3.5) // 1.6 to 0.6 is 2.7
}
