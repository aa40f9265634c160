package rehearser_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/standin/rehearser"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

const loads = "../../../deploy/loads"

func read(t *testing.T, path string) *rehearser.Load {
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

func play(t *testing.T, l *rehearser.Load, policy string, seed uint64) rehearser.Result {
	t.Helper()
	r, err := rehearser.Play(l, policy, seed)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestNoPolicyPassesTheBound plays each load under each policy.
func TestNoPolicyPassesTheBound(t *testing.T) {
	t.Parallel()
	paths, err := filepath.Glob(filepath.Join(loads, "*.json"))
	if err != nil || len(paths) == 0 {
		t.Fatal("no loads", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l := read(t, path)
			l.Seconds = testSeconds
			for seed := range uint64(testSeeds) {
				worth := make(map[string]float64)
				for _, policy := range rehearser.Policies() {
					r := play(t, l, policy, seed)
					is.True(r.Worth <= r.Bound+rounding)
					is.True(r.Bound <= r.Owed+rounding)
					is.True(r.InTime+r.Late+r.Refused <= r.Requests)
					worth[policy] = r.Worth
				}
				// The gateway's policy is worth its work under every load.
				is.True(worth[rehearser.PrefixCost] >= worth[rehearser.RoundRobin])
				is.True(worth[rehearser.PrefixCost] >= worth[rehearser.LeastLoaded])
				is.True(worth[rehearser.PrefixCost] >= leastReached*play(t, l, rehearser.PrefixCost, seed).Bound)
			}
		})
	}
}

// TestBenefitRecovers holds the seconds after each crash against those before it.
func TestBenefitRecovers(t *testing.T) {
	t.Parallel()
	l := read(t, filepath.Join(loads, "crash.json"))
	r := play(t, l, rehearser.PrefixCost, 1)
	before := r.Seconds[l.Crashes[0].AtMS/1000-1].Share()
	for n, c := range l.Crashes {
		from, to := (c.AtMS+c.ForMS)/1000+recoverySeconds, l.Seconds
		if n+1 < len(l.Crashes) {
			to = l.Crashes[n+1].AtMS / 1000
		}
		for second := from; second < to; second++ {
			if share := r.Seconds[second].Share(); share < recovered*before {
				t.Errorf("second %d earns %.3f of what is owed, %.3f before the crash", second, share, before)
			}
		}
	}
}

// TestSeedsRepeat plays one load twice.
func TestSeedsRepeat(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := read(t, filepath.Join(loads, "crash.json"))
	l.Seconds = testSeconds
	is.Equal(play(t, l, rehearser.PrefixCost, 7), play(t, l, rehearser.PrefixCost, 7))
}

const (
	testSeeds = 2
	// testSeconds shortens the loads to their first burst or crash.
	testSeconds = 14
	// rounding covers sums of fractions.
	rounding = 1e-6
	// recovered is the part of the benefit that has to be back after
	// recoverySeconds, as stated for the fleet.
	recovered       = 0.9
	recoverySeconds = 5
	// leastReached is the stated target for the share of the bound.
	leastReached = 0.85
)

// boundRow is a load whose bound is known.
type boundRow struct {
	Name string         `json:"name"`
	Load rehearser.Load `json:"load"`
	// Share is the part of what is owed that can be reached, with the error that
	// slices of time leave.
	Share float64 `json:"share"`
	Error float64 `json:"error"`
}

func TestBoundsThatAreKnown(t *testing.T) {
	t.Parallel()
	var rows []boundRow
	scripter.Read(t, "testdata/bounds.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			r := play(t, &row.Load, rehearser.LeastLoaded, 1)
			got := r.Bound / r.Owed
			if got < row.Share-row.Error || got > row.Share+row.Error {
				t.Fatalf("bound is %.3f of what is owed, want %.3f to within %.3f", got, row.Share, row.Error)
			}
		})
	}
}

func TestLoadsAreChecked(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, text := range []string{
		``, `{}`, `{"seconds": 1, "vms": 1, "kinds": [{}]}`,
		`{"seconds": 1, "vms": 1, "engines": {"count": 1, "regions": 1, "slots": 1, "read_per_ms": 1, "copy_per_ms": 1}, "kinds": [{"per_second": 1}]}`,
	} {
		_, err := rehearser.Decode([]byte(text))
		is.True(err != nil)
	}
}
