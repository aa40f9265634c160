package coordinator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/peering/coordinator"
)

// TestOlderWeightsInResponse guards against an engine that counts as having newer
// weights than it has.
func TestOlderWeightsInResponse(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	u := &registrar.Upstream{ID: "w1", StartedAt: now, Weights: map[string]uint64{"m": 3, "n": 3}}
	v := coordinator.NewView()
	is.Equal(v.WeightsVersion(now, u, "m"), uint64(3))

	v.RecordWeightsVersion(now, u, "m", 2, 2)
	is.Equal(v.WeightsVersion(now, u, "m"), uint64(3)) // sent before 3 was known, so it proves nothing

	v.RecordWeightsVersion(now, u, "m", 2, 3)
	is.Equal(v.WeightsVersion(now, u, "m"), uint64(2))
	is.Equal(v.WeightsVersion(now, u, "n"), uint64(3)) // other models are not affected

	restarted := *u
	restarted.StartedAt = now.Add(time.Second)
	is.Equal(v.WeightsVersion(now, &restarted, "m"), uint64(3)) // nor is another incarnation

	v.RecordWeightsVersion(now, u, "m", 3, 2)
	is.Equal(v.WeightsVersion(now, u, "m"), uint64(3)) // the engine names newer ones

	v.RecordWeightsVersion(now, u, "m", 2, 3)
	is.Equal(v.WeightsVersion(now.Add(time.Minute), u, "m"), uint64(3)) // it is not kept for good

	is.NoErr(v.Apply(now, coordinator.State{Engines: []coordinator.Engine{{Upstream: "w1", StartedAt: now, Weights: map[string]uint64{"m": 4}}}}, nil))
	is.Equal(v.WeightsVersion(now, u, "m"), uint64(4)) // the hub knows better
}
