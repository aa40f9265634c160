package registrar_test

import (
	"cmp"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// step is one call of the Registrar, or the state expected after the previous
// steps.
type step struct {
	Put string `json:"put"`
	// Address is where the entry is, an address of its own if empty.
	Address string `json:"at"`
	// Service is that of the entry, "s" if empty.
	Service string `json:"service"`
	// Named are the services that the configuration names from this step on.
	Named []string `json:"named"`
	// Restored is true if the entry is one of a restored copy of the store.
	Restored bool   `json:"restored"`
	Weights  uint64 `json:"weights"`
	Orders   uint64 `json:"orders"`
	Leaving  bool   `json:"leaving"`
	// StartedMS is negative if the entry has no start time. AheadMS is a start that is so
	// much later than the step instead.
	StartedMS int64    `json:"started"`
	AheadMS   int64    `json:"ahead_ms"`
	Remove    string   `json:"remove"`
	Replace   []string `json:"replace"`
	// StoreRecovered starts the grace period after an outage of the store.
	StoreRecovered bool `json:"returned"`
	WaitMS         int  `json:"wait_ms"`
	// Usable lists the IDs of the expected usable upstreams, and Events the types
	// of all events since the first step.
	Usable []string `json:"usable"`
	// All are the IDs of all expected upstreams of named services.
	All []string `json:"all"`
	// WantWeights is the version that all usable upstreams are to have, 0 for any.
	WantWeights uint64                `json:"want_weights"`
	Events      []registrar.EventType `json:"news"`
}

func newUpstream(now time.Time, s step, id string) *registrar.Upstream {
	u := &registrar.Upstream{
		ID: id, Service: cmp.Or(s.Service, "s"), Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.2"), uint16(id[0])),
		Weights: map[string]uint64{"m": s.Weights}, Orders: s.Orders,
		Leaving: s.Leaving, StartedAt: time.UnixMilli(s.StartedMS),
	}
	if s.Address != "" {
		u.Address = netip.MustParseAddrPort(s.Address)
	}
	switch {
	case s.StartedMS < 0:
		u.StartedAt = time.Time{}
	case s.AheadMS > 0:
		u.StartedAt = now.Add(time.Duration(s.AheadMS) * time.Millisecond)
	}
	return u
}

func TestRegistrar(t *testing.T) {
	t.Parallel()
	var cases []struct {
		Name  string `json:"name"`
		Steps []step `json:"steps"`
	}
	scripter.Read(t, "testdata/entries.json", &cases)
	for _, tc := range cases {
		t.Run(tc.Name, func(t *testing.T) {
			t.Parallel()
			runSteps(t, tc.Steps)
		})
	}
}

func runSteps(t *testing.T, steps []step) {
	is := is.New(t)
	r := registrar.New()
	now := time.Unix(1_700_000_000, 0)
	eventTypes := []registrar.EventType{}
	for _, s := range steps {
		var events []registrar.Event
		switch {
		case s.Put != "" && s.Restored:
			events = r.PutRestored(now, newUpstream(now, s, s.Put))
		case s.Put != "":
			events = r.Put(now, newUpstream(now, s, s.Put))
		case s.Remove != "":
			events = r.Remove(now, s.Remove)
		case s.Replace != nil:
			for _, u := range r.All() {
				if !slices.Contains(s.Replace, u.ID) {
					events = append(events, r.Remove(now, u.ID)...)
				}
			}
		case s.Named != nil:
			r.SetServices(now, func(service string) bool { return slices.Contains(s.Named, service) })
		case s.StoreRecovered:
			r.HandleStoreRecovery(now)
		case s.WaitMS > 0:
			now = now.Add(time.Duration(s.WaitMS) * time.Millisecond)
			events = r.Expire(now)
		}
		for _, e := range events {
			eventTypes = append(eventTypes, e.Type)
		}
		if s.Usable == nil {
			continue
		}
		checkUsable(is, r, s)
		if s.Events != nil {
			is.Equal(eventTypes, s.Events)
		}
	}
}

func checkUsable(is *is.I, r *registrar.Registrar, s step) {
	is.Helper()
	usable := r.Usable("s")
	ids := make([]string, 0, len(usable))
	for _, u := range usable {
		ids = append(ids, u.ID)
		if s.WantWeights > 0 {
			is.Equal(u.Weights["m"], s.WantWeights)
		}
	}
	is.Equal(ids, s.Usable)
	if s.All == nil {
		return
	}
	all := []string{}
	for _, u := range r.All() {
		all = append(all, u.ID)
	}
	slices.Sort(all)
	is.Equal(all, s.All)
}
