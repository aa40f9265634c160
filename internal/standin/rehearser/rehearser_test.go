package rehearser_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/standin/rehearser"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

const loadsDir = "../../../deploy/loads"

func readLoad(t *testing.T, path string) *rehearser.Load {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	l, err := rehearser.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func simulate(t *testing.T, l *rehearser.Load, policy string, seed uint64) rehearser.Result {
	t.Helper()
	r, err := rehearser.Simulate(l, policy, seed)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestNoPolicyExceedsBound simulates each load under each policy.
func TestNoPolicyExceedsBound(t *testing.T) {
	t.Parallel()
	paths, err := filepath.Glob(filepath.Join(loadsDir, "*.json"))
	if err != nil || len(paths) == 0 {
		t.Fatal("found no load files", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l := readLoad(t, path)
			l.Seconds = testSeconds
			for seed := range uint64(testSeeds) {
				worth := make(map[string]float64)
				for _, policy := range rehearser.Policies() {
					r := simulate(t, l, policy, seed)
					is.True(r.Benefit <= r.Bound+rounding)
					is.True(r.Bound <= r.MaxBenefit+rounding)
					is.True(r.InTime+r.Late+r.Refused <= r.Requests)
					worth[policy] = r.Benefit
				}
				// The gateway's policy earns at least as much as the simpler policies.
				is.True(worth[rehearser.PrefixCost] >= worth[rehearser.RoundRobin])
				is.True(worth[rehearser.PrefixCost] >= worth[rehearser.LeastLoaded])
				is.True(worth[rehearser.PrefixCost] >= minBoundShare*simulate(t, l, rehearser.PrefixCost, seed).Bound)
			}
		})
	}
}

// TestBenefitRecoversAfterCrash compares the benefit after each crash with that
// of the second before the first crash.
func TestBenefitRecoversAfterCrash(t *testing.T) {
	t.Parallel()
	l := readLoad(t, filepath.Join(loadsDir, "crash.json"))
	r := simulate(t, l, rehearser.PrefixCost, 1)
	before := r.Seconds[l.Crashes[0].AtMS/1000-1].Share()
	for n, c := range l.Crashes {
		from, to := (c.AtMS+c.ForMS)/1000+recoverySeconds, l.Seconds
		if n+1 < len(l.Crashes) {
			to = l.Crashes[n+1].AtMS / 1000
		}
		for second := from; second < to; second++ {
			if share := r.Seconds[second].Share(); share < recovered*before {
				t.Errorf("second %d: share of benefit earned is %.3f, was %.3f before the crash", second, share, before)
			}
		}
	}
}

// TestServiceRecoversAfterOverload guards against a collapse in which late and returning
// requests keep those in time from being served after a burst has ended.
func TestServiceRecoversAfterOverload(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := readLoad(t, filepath.Join(loadsDir, "overload", "collapse.json"))
	from := (l.Bursts[0].AtMS+l.Bursts[0].ForMS)/1000 + overloadRecoverySeconds
	for seed := range uint64(overloadSeeds) {
		before, after := simulate(t, l, rehearser.PrefixCost, seed+1), simulate(t, l, rehearser.Shedding, seed+1)
		t.Logf("seed %d: %d in time and benefit %.0f, %d and %.0f without the shedder", seed+1, after.InTime, after.Benefit, before.InTime, before.Benefit)
		is.True(after.InTime > before.InTime)
		is.True(after.Benefit > before.Benefit)
		calm, back := timelyShare(after.Seconds[:l.Bursts[0].AtMS/1000]), timelyShare(after.Seconds[from:from+overloadRecoverySeconds])
		t.Logf("share in time %.3f before the burst, %.3f from second %d on; without the shedder %.3f", calm, back, from, timelyShare(before.Seconds[from:from+overloadRecoverySeconds]))
		burst := func(r rehearser.Result) float64 {
			return timelyShare(r.Seconds[l.Bursts[0].AtMS/1000 : from-overloadRecoverySeconds])
		}
		t.Logf("in the burst %.3f, without the shedder %.3f", burst(after), burst(before))
		is.True(back >= recovered*calm) // timely answers are back
	}
}

// timelyShare returns the share of the requests of some seconds that were answered in time.
func timelyShare(seconds []rehearser.Second) float64 {
	inTime, requests := 0, 0
	for _, s := range seconds {
		inTime, requests = inTime+s.InTime, requests+s.Requests
	}
	return float64(inTime) / float64(requests)
}

// TestNoticesAreHeeded plays engines that leave and that refuse requests, with and without
// entries that show it, on some engines, on all, and again and again.
func TestNoticesAreHeeded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := readLoad(t, filepath.Join(loadsDir, "notices.json"))
	for seed := range uint64(noticeSeeds) {
		is.Equal(simulate(t, l, rehearser.PrefixCost, seed).AfterNotices, 0)
	}
	// The check finds a policy that does not consider notices.
	is.True(simulate(t, l, rehearser.LeastLoaded, 0).AfterNotices > 0)
}

// TestLimitsAreKeptOverAllVMs plays engines that state limits, one after the other and
// several at the same time.
func TestLimitsAreKeptOverAllVMs(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := readLoad(t, filepath.Join(loadsDir, "limits.json"))
	for seed := range uint64(noticeSeeds) {
		is.Equal(simulate(t, l, rehearser.PrefixCost, seed).OverLimits, 0)
	}
	// The check finds a policy that does not consider limits.
	is.True(simulate(t, l, rehearser.LeastLoaded, 0).OverLimits > 0)
}

// TestUnevenEnginesAreUsedByTheirSpeed plays engines of three speeds, one of which slows down
// for some time. It guards against estimates that do not reach the choices, or mislead them.
func TestUnevenEnginesAreUsedByTheirSpeed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := readLoad(t, filepath.Join(loadsDir, "uneven.json"))
	late := make(map[string]int)
	for seed := range uint64(testSeeds) {
		for _, policy := range []string{rehearser.PrefixCost, rehearser.PrefixCostEqualSpeeds} {
			r := simulate(t, l, policy, seed)
			late[policy] += r.Requests - r.InTime
			t.Logf("%s, seed %d: %d of %d in time, benefit %.0f of at most %.0f", policy, seed, r.InTime, r.Requests, r.Benefit, r.Bound)
		}
	}
	is.True(float64(late[rehearser.PrefixCost]) < maxLateShare*float64(late[rehearser.PrefixCostEqualSpeeds]))
}

// TestEqualSeedsGiveEqualResults simulates one load twice.
func TestEqualSeedsGiveEqualResults(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := readLoad(t, filepath.Join(loadsDir, "crash.json"))
	l.Seconds = testSeconds
	is.Equal(simulate(t, l, rehearser.PrefixCost, 7), simulate(t, l, rehearser.PrefixCost, 7))
}

const (
	testSeeds = 2
	// noticeSeeds is the number of plays with notices.
	noticeSeeds = 5
	// testSeconds shortens the loads to include no more than the first burst or crash.
	testSeconds = 14
	// maxLateShare is the largest ratio of the late requests with estimates of speeds to
	// those without.
	maxLateShare = 0.8
	// rounding is the tolerance for floating-point sums.
	rounding = 1e-6
	// recovered is the share of the previous benefit required recoverySeconds after a
	// crash, from the stated target of the fleet.
	recovered       = 0.9
	recoverySeconds = 5
	// overloadRecoverySeconds is the target for the recovery from an overload.
	overloadRecoverySeconds = 3
	overloadSeeds           = 3
	// minBoundShare is the stated target for the benefit as a share of the bound.
	minBoundShare = 0.85
)

// boundRow is a load with a known bound.
type boundRow struct {
	Name string         `json:"name"`
	Load rehearser.Load `json:"load"`
	// Share is the expected ratio of the bound to the benefit owed, Error the
	// tolerance for the rounding to time slices.
	Share float64 `json:"share"`
	Error float64 `json:"error"`
}

func TestKnownBounds(t *testing.T) {
	t.Parallel()
	var rows []boundRow
	scripter.Read(t, "testdata/bounds.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			r := simulate(t, &row.Load, rehearser.LeastLoaded, 1)
			got := r.Bound / r.MaxBenefit
			if got < row.Share-row.Error || got > row.Share+row.Error {
				t.Fatalf("bound is %.3f of the benefit owed, want %.3f +/- %.3f", got, row.Share, row.Error)
			}
		})
	}
}

func TestDecodeRejectsInvalidLoads(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, text := range []string{
		``, `{}`, `{"seconds": 1, "vms": 1, "kinds": [{}]}`,
		`{"seconds": 1, "vms": 1, "engines": {"count": 1, "regions": 1, "slots": 1, "read_per_ms": 1, "copy_per_ms": 1}, "kinds": [{"per_second": 1}]}`,
		`{"seconds": 1, "vms": 1, "engines": {"count": 1, "regions": 1, "slots": 1, "read_per_ms": 1, "copy_per_ms": 1}, "kinds": [{"per_second": 1, "own": 1, "subjects": 1, "objective_ms": 1, "patience_ms": 1}], "departures": [{"share": 1}]}`,
		`{"seconds": 1, "vms": 1, "engines": {"count": 1, "regions": 1, "slots": 1, "read_per_ms": 1, "copy_per_ms": 1}, "kinds": [{"per_second": 1, "own": 1, "subjects": 1, "objective_ms": 1, "patience_ms": 1}], "refusals": [{"share": 0.5}]}`,
	} {
		_, err := rehearser.Decode([]byte(text))
		is.True(err != nil) // the load is invalid
	}
}
