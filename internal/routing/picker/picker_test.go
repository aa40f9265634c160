package picker_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/caching/cataloguer"
	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/routing/picker"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// upstreamRow is an upstream with its load, weights, cache and health.
type upstreamRow struct {
	ID               string `json:"id"`
	AvailabilityZone string `json:"zone"`
	InFlight         int    `json:"in_flight"`
	QueuedTokens     int    `json:"queued_tokens"`
	Weights          uint64 `json:"weights"`
	// HeldTokens is the number of leading tokens that the upstream has cached.
	// Coming is true if it has yet to prefill them.
	HeldTokens int  `json:"holds"`
	Coming     bool `json:"coming"`
	// Unreachable and Failing are failures that this VM has observed.
	Unreachable bool `json:"down"`
	Failing     bool `json:"failing"`
	Unusable    bool `json:"unfit"`
	// Limited is true if the upstream takes no request now.
	Limited bool `json:"limited"`
	// CopyingMS is the time in ms that copies keep the upstream's link busy.
	CopyingMS int `json:"copying_ms"`
	// Speed is the speed relative to the mean, 0 for the mean.
	Speed float64 `json:"speed"`
}

type decisionRow struct {
	Name string `json:"name"`
	// Pattern describes the load pattern for which the row was written.
	Pattern string `json:"pattern"`
	// SharedTokens and OwnTokens are the shared and the other part of the
	// prompt.
	SharedTokens int    `json:"shared"`
	OwnTokens    int    `json:"own"`
	Newest       uint64 `json:"newest"`
	Due          uint64 `json:"due"`
	Plain        bool   `json:"plain"`
	Limit        int    `json:"limit"`
	// ObjectiveMS is the time in ms left until the objective of the first
	// event.
	ObjectiveMS int           `json:"objective_ms"`
	Upstreams   []upstreamRow `json:"upstreams"`
	// StoreAvailabilityZone is that of the cache store, empty without a store.
	StoreAvailabilityZone string `json:"store_zone"`
	// StoreHeldTokens is the number of leading tokens in the store.
	StoreHeldTokens int `json:"store_holds"`
	// StoreCopyingMS is the time in ms that copies keep the store's link busy.
	StoreCopyingMS int `json:"store_copying_ms"`

	// Chosen lists the upstreams that may be chosen.
	Chosen []string      `json:"chosen"`
	Reason picker.Reason `json:"reason"`
	// SourceID is the upstream or store to copy from, empty for none.
	SourceID string `json:"source"`
	// Saves is true if the prompt is saved to the store.
	Saves bool `json:"saves"`
}

const storeID = "store"

var regions = map[string]string{"z1": "r1", "z2": "r1", "y1": "r2", "x1": "r3"}

func TestDecisions(t *testing.T) {
	t.Parallel()
	checkDecisions(t, "testdata/decisions.json")
}

func checkDecisions(t *testing.T, path string) {
	t.Helper()
	var rows []decisionRow
	scripter.Read(t, path, &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			checkDecision(t, row)
		})
	}
}

func checkDecision(t *testing.T, row decisionRow) {
	is := is.New(t)
	is.True(row.Pattern != "") // each row describes its load pattern
	now := time.Unix(1_700_000_000, 0)
	for seed := range uint64(20) { // the result must not depend on the jitter
		p := picker.New(picker.Config{AvailabilityZone: "z1", Regions: regions, Seed: seed})
		q := query(row)
		for _, u := range row.Upstreams {
			if u.Unreachable {
				p.RecordUnreachable(now, u.ID)
			}
			for range 30 {
				if u.Failing {
					p.RecordAnswer(now, u.ID, true)
				}
			}
		}
		c := p.Choose(now, q)
		id := ""
		if c.Upstream != nil {
			id = c.Upstream.ID
		}
		if len(row.Chosen) == 0 {
			is.Equal(id, "")
		} else if !contains(row.Chosen, id) {
			t.Fatalf("seed %d: got upstream %q (reason %s, cost %s), want one of %v", seed, id, c.Reason, c.Costs.Total(), row.Chosen)
		}
		if row.Reason != "" {
			is.Equal(c.Reason, row.Reason)
		}
		noChoice := c.Reason == picker.NoUpstream || c.Reason == picker.Full || c.Reason == picker.Behind
		is.Equal(c.Upstream == nil, noChoice) // only these reasons come without an upstream
		source := ""
		if c.Source != nil {
			source = c.Source.ID
		}
		is.Equal(source, row.SourceID)
		is.Equal(c.SaveStore != nil, row.Saves)
	}
}

func contains(list []string, id string) bool {
	for _, s := range list {
		if s == id {
			return true
		}
	}
	return false
}

// limitsOf returns the same limit for all upstreams, and for this VM that of 24.
func limitsOf(limit int) func(*registrar.Upstream) picker.Limits {
	return func(*registrar.Upstream) picker.Limits { return picker.Limits{Own: 24, All: limit} }
}

func query(row decisionRow) picker.Query {
	rows := make(map[string]upstreamRow)
	q := picker.Query{
		Limits: limitsOf(24), BodyBytes: 34_000,
		Objective: time.Duration(row.ObjectiveMS) * time.Millisecond,
	}
	q.Speed = func(u *registrar.Upstream) float64 { return rows[u.ID].Speed }
	if row.Limit > 0 {
		q.Limits = limitsOf(row.Limit)
	}
	holders := make(map[string]cataloguer.Holding)
	for n, u := range row.Upstreams {
		rows[u.ID] = u
		if u.HeldTokens > 0 {
			holders[u.ID] = cataloguer.Holding{Tokens: u.HeldTokens, Pending: u.Coming}
		}
		upstream := &registrar.Upstream{
			ID: u.ID, AvailabilityZone: u.AvailabilityZone, Slots: 24,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80),
		}
		if u.Limited {
			q.Sources = append(q.Sources, upstream)
		} else {
			q.Upstreams = append(q.Upstreams, upstream)
		}
	}
	if row.StoreHeldTokens > 0 {
		holders[storeID] = cataloguer.Holding{Tokens: row.StoreHeldTokens}
	}
	q.OtherLoad = func(id string) picker.Load {
		if id == storeID {
			return picker.Load{Copying: time.Duration(row.StoreCopyingMS) * time.Millisecond}
		}
		u := rows[id]
		return picker.Load{InFlight: u.InFlight, PromptTokens: u.QueuedTokens, Copying: time.Duration(u.CopyingMS) * time.Millisecond}
	}
	q.Usable = func(u *registrar.Upstream) bool { return !rows[u.ID].Unusable }
	if row.Plain {
		return q
	}
	q.Prompt = &picker.Prompt{
		Tokens:         row.SharedTokens + row.OwnTokens,
		WeightsVersion: func(u *registrar.Upstream) uint64 { return rows[u.ID].Weights },
		NewestVersion:  row.Newest,
		DueVersion:     row.Due,
		Scope:          func(version uint64) string { return fmt.Sprint("@", version) },
		Holders: func(part cataloguer.Part) map[string]cataloguer.Holding {
			held := make(map[string]cataloguer.Holding)
			for id, h := range holders {
				if part.Scope == fmt.Sprint("@", rows[id].Weights) || id == storeID {
					held[id] = h
				}
			}
			return held
		},
		Engine: picker.Engine{TokenBytes: 163_840, LinkBytesPerSecond: 550e9 / 8},
	}
	if row.SharedTokens > 0 {
		q.Prompt.Shared = []picker.SharedPart{{ID: "subject", Tokens: row.SharedTokens}}
	}
	if row.StoreAvailabilityZone != "" {
		q.Prompt.Stores = []picker.Store{{ID: storeID, AvailabilityZone: row.StoreAvailabilityZone, LinkBytesPerSecond: 350e9 / 8}}
	}
	return q
}

// TestPromptHomesAreBalancedWithoutHub lets nine VMs without any exchanged
// state choose upstreams for many prompts. All VMs must choose the same
// upstream for a prompt, and the prompts must be distributed evenly.
func TestPromptHomesAreBalancedWithoutHub(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	upstreams := make([]*registrar.Upstream, 0, 18)
	for n := range 18 {
		upstreams = append(upstreams, &registrar.Upstream{ID: fmt.Sprint("u", n), AvailabilityZone: "z1", Slots: 24})
	}
	homes := make(map[string]int)
	for prompt := range 900 {
		chosen := make(map[string]bool)
		for vm := range uint64(9) {
			p := picker.New(picker.Config{AvailabilityZone: "z1", Regions: regions, Seed: vm})
			c := p.Choose(now, picker.Query{Upstreams: upstreams, Limits: limitsOf(24), Prompt: &picker.Prompt{
				Shared:         []picker.SharedPart{{ID: fmt.Sprint("subject ", prompt), Tokens: 13_000}},
				Tokens:         17_000,
				WeightsVersion: func(*registrar.Upstream) uint64 { return 1 },
				Scope:          func(uint64) string { return "@1" },
				Holders:        func(cataloguer.Part) map[string]cataloguer.Holding { return nil },
			}})
			chosen[c.Upstream.ID] = true
			is.Equal(c.Reason, picker.PrefixHome)
		}
		is.Equal(len(chosen), 1) // all VMs choose the same upstream
		for id := range chosen {
			homes[id]++
		}
	}
	for _, n := range homes {
		is.True(n > 25 && n < 85) // 50 prompts per upstream on average
	}
}

// TestPromptsWithACommonStartHaveOwnHomes has prompts whose first part, such as the
// instructions of a service, is the same and cached everywhere, while nobody holds the
// second. All VMs must choose the same upstream for a prompt, and a prompt that was just
// sent must not count as held for another one.
func TestPromptsWithACommonStartHaveOwnHomes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	upstreams := make([]*registrar.Upstream, 0, 18)
	instructions := make(map[string]cataloguer.Holding)
	for n := range 18 {
		upstreams = append(upstreams, &registrar.Upstream{ID: fmt.Sprint("u", n), AvailabilityZone: "z1", Slots: 24})
		instructions[fmt.Sprint("u", n)] = cataloguer.Holding{Tokens: 500}
	}
	vms := make([]*picker.Picker, 0, 9)
	for vm := range uint64(9) {
		vms = append(vms, picker.New(picker.Config{AvailabilityZone: "z1", Regions: regions, Seed: vm}))
	}
	homes := make(map[string]int)
	for prompt := range 300 {
		chosen := make(map[string]bool)
		for _, p := range vms {
			q := picker.Query{Upstreams: upstreams, Limits: limitsOf(24), Prompt: &picker.Prompt{
				Shared:         []picker.SharedPart{{ID: "instructions", Tokens: 500}, {ID: fmt.Sprint("work ", prompt), Tokens: 5000}},
				Tokens:         12_000,
				WeightsVersion: func(*registrar.Upstream) uint64 { return 1 },
				Scope:          func(uint64) string { return "@1" },
				Holders: func(part cataloguer.Part) map[string]cataloguer.Holding {
					if part.ID == "instructions" {
						return instructions
					}
					return nil
				},
			}}
			c := p.Choose(now, q)
			is.Equal(c.PromptTokens, 11_500)
			p.RecordSent(now, q, c)
			p.EndPrefill(c)
			p.EndRequest(c)
			chosen[c.Upstream.ID] = true
		}
		is.Equal(len(chosen), 1)
		for id := range chosen {
			homes[id]++
		}
	}
	is.True(len(homes) > 12)
}

// TestSentPromptIsRoutedToSameUpstream sends the same long prompt twice, before
// any cache event shows where it is cached.
func TestSentPromptIsRoutedToSameUpstream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	p := picker.New(picker.Config{AvailabilityZone: "z1", Regions: regions, Seed: 1})
	q := query(decisionRow{SharedTokens: 13_000, OwnTokens: 3000, Upstreams: []upstreamRow{
		{ID: "a", AvailabilityZone: "z1", Weights: 1}, {ID: "b", AvailabilityZone: "z1", Weights: 1}, {ID: "c", AvailabilityZone: "z1", Weights: 1},
	}})
	first := p.Choose(now, q)
	p.RecordSent(now, q, first)
	is.Equal(len(p.DrainSentParts()), 1)
	is.Equal(len(p.DrainSentParts()), 0)
	second := p.Choose(now.Add(50*time.Millisecond), q)
	is.Equal(second.Upstream.ID, first.Upstream.ID)
	is.Equal(second.Source, nil) // not prefilled yet, so it cannot be copied
	p.EndPrefill(first)
	p.EndRequest(first)
	is.Equal(len(p.Loads()), 0) // the load of the request was removed
}

func TestCooldownEndsWithAnswer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	p := picker.New(picker.Config{AvailabilityZone: "z1", Regions: regions, Seed: 1})
	q := query(decisionRow{Plain: true, Upstreams: []upstreamRow{{ID: "a", AvailabilityZone: "z1"}, {ID: "b", AvailabilityZone: "z1", InFlight: 20}}})
	p.RecordUnreachable(now, "a")
	is.Equal(p.Choose(now, q).Upstream.ID, "b")
	is.Equal(p.Choose(now.Add(time.Second), q).Upstream.ID, "a") // the cooldown is over
	p.RecordUnreachable(now.Add(time.Second), "a")
	is.Equal(p.Choose(now.Add(1800*time.Millisecond), q).Upstream.ID, "b") // the second cooldown is longer
	p.RecordAnswer(now, "a", false)
	is.Equal(p.Choose(now.Add(1800*time.Millisecond), q).Upstream.ID, "a")
}

// TestIdleUpstreamStatesAreEvicted replaces the only upstream every ten
// seconds, while one request stays in flight at the first upstream. The number
// of states must stay bounded and the state with a request in flight must be
// kept.
func TestIdleUpstreamStatesAreEvicted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	p := picker.New(picker.Config{AvailabilityZone: "z1", Regions: regions, Seed: 1})
	var open picker.Choice
	for n := range 1000 {
		now = now.Add(10 * time.Second)
		q := query(decisionRow{Plain: true, Upstreams: []upstreamRow{{ID: fmt.Sprint("u", n), AvailabilityZone: "z1"}}})
		c := p.Choose(now, q)
		p.RecordSent(now, q, c)
		if n == 0 {
			open = c
			continue
		}
		p.EndPrefill(c)
		p.RecordAnswer(now, c.Upstream.ID, n%2 == 0)
		p.EndRequest(c)
	}
	is.True(p.StateCount() <= 10) // those used in the last minute, and the one with a request in flight
	is.Equal(p.Loads()[open.Upstream.ID].InFlight, 1)
	p.EndPrefill(open)
	p.EndRequest(open)
	is.Equal(len(p.Loads()), 0)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{18, 72, 740} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			row := decisionRow{SharedTokens: 13_000, OwnTokens: 3000}
			for i := range n {
				row.Upstreams = append(row.Upstreams, upstreamRow{ID: fmt.Sprint("u", i), AvailabilityZone: "z1", Weights: 1, HeldTokens: i % 2 * 13_000})
			}
			p := picker.New(picker.Config{AvailabilityZone: "z1", Regions: regions, Seed: 1})
			q := query(row)
			now := time.Unix(1_700_000_000, 0)
			for b.Loop() {
				p.Choose(now, q)
			}
		})
	}
}
