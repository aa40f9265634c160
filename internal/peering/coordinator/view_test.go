package coordinator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/peering/coordinator"
)

// TestWeightsOutlastChangeOfHub guards against a VM that forgets the new weights of an
// engine with its hub, and refuses requests until the engine's entry shows them.
func TestWeightsOutlastChangeOfHub(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	entry := &registrar.Upstream{ID: "a", StartedAt: now, Weights: map[string]uint64{"m": 1}}
	later := &registrar.Upstream{ID: "a", StartedAt: now.Add(time.Second), Weights: map[string]uint64{"m": 1}}
	engine := func(version uint64) coordinator.State {
		return coordinator.State{Full: true, Engines: []coordinator.Engine{
			{Upstream: "a", StartedAt: now, ChangingWeights: true, Weights: map[string]uint64{"m": version}},
		}}
	}
	v := coordinator.NewView()
	is.NoErr(v.Apply(now, engine(2), nil))
	is.True(v.ChangingWeights(now, entry))

	is.NoErr(v.Apply(now, coordinator.State{Full: true}, nil))
	is.Equal(v.WeightsVersion(now, entry, "m"), uint64(2))
	is.True(!v.ChangingWeights(now, entry))
	is.Equal(v.WeightsVersion(now, later, "m"), uint64(1)) // another process

	is.NoErr(v.Apply(now, engine(1), nil)) // a report that the hub has received
	is.Equal(v.WeightsVersion(now, entry, "m"), uint64(1))

	v.RecordWeightsVersion(now, entry, "m", 3, 1)
	is.NoErr(v.Apply(now.Add(2*time.Minute), coordinator.State{Full: true}, nil))
	is.Equal(v.WeightsVersion(now, entry, "m"), uint64(1))
}
