package coordinator_test

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/peering/coordinator"
	"gentianstep.example/gentianstep/internal/peering/messenger"
	"gentianstep.example/gentianstep/internal/routing/gauger"
)

// startSampler runs a subscriber that reports a prompt at each of three engines each time.
func startSampler(t *testing.T, transport *http.Transport, node string) *coordinator.View {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	view := coordinator.NewView()
	next := time.Now()
	go coordinator.NewSubscriber(coordinator.SubscriberConfig{
		Node:           node,
		Hub:            fixedHub,
		Loads:          func() map[string]coordinator.Load { return nil },
		DrainSentParts: func() []coordinator.CachedPart { return nil },
		DrainSpeeds: func() []gauger.Sample {
			if time.Now().Before(next) {
				return nil
			}
			next = time.Now().Add(time.Second)
			return []gauger.Sample{
				{Upstream: "slow", Observed: 200 * time.Millisecond, Expected: 100 * time.Millisecond, Count: 1},
				{Upstream: "usual", Observed: 120 * time.Millisecond, Expected: 100 * time.Millisecond, Count: 1},
				{Upstream: "fast", Observed: 72 * time.Millisecond, Expected: 100 * time.Millisecond, Count: 1},
			}
		},
		View:   view,
		Client: &http.Client{Transport: transport},
		Log:    discardLog(),
	}).Run(ctx)
	return view
}

// TestSpeedsReachAllVMs guards against samples that the hub loses, and against VMs that know
// other speeds than the others or lose them at once without a hub.
func TestSpeedsReachAllVMs(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network, _ := startHub(t, alwaysActive)
		transport := &http.Transport{DialContext: network.Dial}
		t.Cleanup(transport.CloseIdleConnections)
		a, b := startSampler(t, transport, "a"), startSampler(t, transport, "b")
		time.Sleep(10 * time.Second)
		for upstream, want := range map[string]float64{"slow": 0.6, "usual": 1, "fast": 1.6} {
			atA, known := a.Speed(time.Now(), upstream)
			is.True(known)
			atB, _ := b.Speed(time.Now(), upstream)
			is.Equal(atA, atB)
			is.True(math.Abs(math.Log(atA/want)) < 0.15)
		}
		c := startVM(t, network, "c", fixedHub) // gets the full state
		time.Sleep(time.Second)
		atC, _ := c.view.Speed(time.Now(), "slow")
		is.True(atC < 0.8)
		network.Close()
	})
}

// TestSpeedsOutlastChangeOfHub guards against VMs that forget the speeds with their hub, and
// against speeds that are kept although no hub states them any more.
func TestSpeedsOutlastChangeOfHub(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	v := coordinator.NewView()
	check := func(at time.Time, want float64, wantKnown bool) {
		t.Helper()
		got, known := v.Speed(at, "a")
		is.Equal(got, want)
		is.Equal(known, wantKnown)
	}
	check(now, 1, false)
	state := coordinator.State{Full: true, Names: []string{"a"}, Speeds: []coordinator.UpstreamSpeed{{Percent: 60}}}
	is.NoErr(v.Apply(now, state, nil))
	check(now.Add(9*time.Second), 0.6, true)
	check(now.Add(11*time.Second), 1, false) // no message for too long
	is.NoErr(v.Apply(now, coordinator.State{Full: true}, nil))
	check(now.Add(9*time.Second), 0.6, true)
	is.NoErr(v.Apply(now.Add(9*time.Second), coordinator.State{}, nil))
	check(now.Add(11*time.Second), 1, true) // the new hub has not stated it
	is.NoErr(v.Apply(now, state, nil))
	is.NoErr(v.Apply(now, coordinator.State{Speeds: []coordinator.UpstreamSpeed{{Percent: 100}}}, nil))
	check(now, 1, true)
}

// TestInvalidSpeedsAreRejected guards against messages with values that overflow or would make
// the estimate useless.
func TestInvalidSpeedsAreRejected(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	valid := coordinator.SpeedSample{Upstream: "a", ObservedMillis: 100, ExpectedMillis: 100, Count: 1}
	check := func(s coordinator.SpeedSample) error {
		return coordinator.Report{Node: "vm1", Number: 1, Speeds: []coordinator.SpeedSample{s}}.Check()
	}
	is.NoErr(check(valid))
	for _, spoil := range []func(*coordinator.SpeedSample){
		func(s *coordinator.SpeedSample) { s.Upstream = "" },
		func(s *coordinator.SpeedSample) { s.ObservedMillis = math.MaxInt64 },
		func(s *coordinator.SpeedSample) { s.ExpectedMillis = -1 },
		func(s *coordinator.SpeedSample) { s.Count = 0 },
	} {
		s := valid
		spoil(&s)
		is.True(check(s) != nil)
	}
	for _, s := range []coordinator.UpstreamSpeed{{Upstream: 1, Percent: 100}, {Upstream: -1, Percent: 100}, {Percent: 0}, {Percent: 1001}} {
		is.True(coordinator.State{Names: []string{"a"}, Speeds: []coordinator.UpstreamSpeed{s}}.Check(0) != nil)
	}
}

// TestSpeedsTakeFewBytes guards against messages that grow with the number of engines more
// than the page of the design allows for.
func TestSpeedsTakeFewBytes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	size := func(v any) int {
		data, err := messenger.EncodeValue(v)
		is.NoErr(err)
		return len(data)
	}
	report, state := coordinator.Report{Node: "vm1", Number: 1}, coordinator.State{}
	reportBytes, stateBytes := size(report), size(state)
	for n := range 89 {
		report.Speeds = append(report.Speeds, coordinator.SpeedSample{
			Upstream: "engine-" + strconv.Itoa(100+n), ObservedMillis: 1234, ExpectedMillis: 1000, Count: 3,
			StartedMillis: 1_700_000_000_000, Service: "llm",
		})
		state.Speeds = append(state.Speeds, coordinator.UpstreamSpeed{Upstream: n, Percent: 160})
	}
	reportBytes, stateBytes = size(report)-reportBytes, size(state)-stateBytes
	t.Logf("per engine: %.1f bytes in a report, %.1f in a state", float64(reportBytes)/89, float64(stateBytes)/89)
	is.True(reportBytes <= 89*45)
	is.True(stateBytes <= 89*6)
}
