package limiter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// fleet is one test case of testdata/fleets.json.
type fleet struct {
	Name    string
	Routers int
	Limit   float64
	// Demand is the offered rate of each router. The last value applies to all
	// further routers.
	Demand []float64
	// Early is the demand before time From.
	Early []float64
	From  checker.Duration
	// Moves is the interval at which the demand shifts by one router.
	Moves     checker.Duration
	Run       checker.Duration
	Loss      float64
	Live      int
	Groups    int
	MaxFactor float64 `json:"max_factor"`
	MinFactor float64 `json:"min_factor"`
}

const (
	tick = 10 * time.Millisecond
	// window is the sliding window for comparing the admitted rate to the limit.
	window = 10 * time.Second
	tiles  = "tiles"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// simulate runs the fleet and returns the number of admitted requests in each
// second and the total number of offered requests.
func simulate(f fleet) (admitted []int, offered int) {
	rng := rand.New(rand.NewPCG(1, uint64(f.Routers)))
	routers := make([]*Limiter, f.Routers)
	for i := range routers {
		routers[i] = New()
		routers[i].SetLimits(map[string]float64{tiles: f.Limit})
		routers[i].SetRouterCounts(f.Live, f.Routers)
	}
	ticks := int(f.Run.Std() / tick)
	admitted = make([]int, f.Run.Std()/time.Second)
	for k := range ticks {
		elapsed := time.Duration(k) * tick
		now := start.Add(elapsed)
		for i, r := range routers {
			due := f.demand(i, elapsed) * tick.Seconds()
			for ; rng.Float64() < due; due-- {
				offered++
				if r.Allow(now, tiles).Allowed {
					admitted[elapsed/time.Second]++
				}
			}
		}
		if elapsed%time.Second == 0 {
			f.gossip(now, rng, routers)
		}
	}
	return admitted, offered
}

func (f fleet) demand(i int, elapsed time.Duration) float64 {
	rates := f.Demand
	if elapsed < f.From.Std() {
		rates = f.Early
	}
	if len(rates) == 0 {
		return 0
	}
	if f.Moves > 0 {
		i = (i + int(elapsed/f.Moves.Std())) % f.Routers
	}
	return rates[min(i, len(rates)-1)]
}

func (f fleet) gossip(now time.Time, rng *rand.Rand, routers []*Limiter) {
	for i, from := range routers {
		for _, u := range from.OwnUsage(now, fmt.Sprint(i)) {
			for j, to := range routers {
				if i != j && i*f.Groups/f.Routers == j*f.Groups/f.Routers && rng.Float64() >= f.Loss {
					to.ObserveUsage(now, u)
				}
			}
		}
	}
}

// peak returns the highest admitted rate over a window as a multiple of the
// limit, after subtracting the permitted burst of each router.
func (f fleet) peak(admitted []int) float64 {
	seconds := int(window / time.Second)
	share := f.Limit / float64(f.Routers)
	burst := float64(f.Routers) * max(minBurst, share)
	highest := 0.0
	for i := seconds; i <= len(admitted); i++ {
		sum := 0
		for _, n := range admitted[i-seconds : i] {
			sum += n
		}
		highest = max(highest, (float64(sum)-burst)/(f.Limit*window.Seconds()))
	}
	return highest
}

func readRows[T any](t *testing.T, path string) []T {
	t.Helper()
	var rows []T
	scripter.Read(t, path, &rows)
	return rows
}

type shareRow struct {
	Name        string
	Limit       float64
	Routers     int
	Own, Others float64
	Reporting   int
	Want        float64
}

func TestShares(t *testing.T) {
	t.Parallel()
	for _, row := range readRows[shareRow](t, "testdata/shares.json") {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			in := shareInputs{limit: row.Limit, routers: row.Routers, own: row.Own, others: row.Others, reporting: row.Reporting}
			is.New(t).Equal(in.share(), row.Want) // this router's share of the limit
		})
	}
}

func TestFleets(t *testing.T) {
	t.Parallel()
	for _, f := range readRows[fleet](t, "testdata/fleets.json") {
		t.Run(f.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f.Run = max(f.Run, checker.Duration(2*time.Minute))
			f.Groups = max(f.Groups, 1)
			if f.Live == 0 {
				f.Live = f.Routers
			}
			admitted, offered := simulate(f)
			sum := 0
			for _, n := range admitted {
				sum += n
			}
			mean := float64(sum) / f.Run.Std().Seconds() / f.Limit
			t.Logf("peak %.2f and mean %.2f of the limit, %d of %d requests refused", f.peak(admitted), mean, offered-sum, offered)
			is.True(f.peak(admitted) <= f.MaxFactor) // peak rate as a multiple of the limit
			is.True(mean >= f.MinFactor)             // mean rate as a multiple of the limit
		})
	}
}

// TestFleetStaysWithinMaxOvershoot checks the peak rate of fleets with random
// partitions, report loss and moving demand.
func TestFleetStaysWithinMaxOvershoot(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		f := fleet{Routers: rapid.IntRange(1, 12).Draw(t, "routers"), Run: checker.Duration(time.Minute)}
		f.Groups = rapid.IntRange(1, min(4, f.Routers)).Draw(t, "groups")
		f.Live = rapid.IntRange(max(f.Routers/f.Groups, 1), f.Routers).Draw(t, "live")
		f.Loss = rapid.Float64Range(0, 1).Draw(t, "loss")
		f.Limit = rapid.Float64Range(5, 100).Draw(t, "limit")
		f.Moves = checker.Duration(rapid.IntRange(3, 30).Draw(t, "moves")) * checker.Duration(time.Second)
		f.Demand = rapid.SliceOfN(rapid.SampledFrom([]float64{0, 0, 20, 99}), 1, f.Routers).Draw(t, "demand")
		admitted, _ := simulate(f)
		if peak := f.peak(admitted); peak > maxOvershoot {
			t.Fatalf("peak rate is %.2f times the limit, want at most %g", peak, float64(maxOvershoot))
		}
	})
}

func TestDecisions(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := New()
	l.SetLimits(map[string]float64{tiles: 1})
	is.True(l.Allow(start, "unlimited").Allowed) // no limit
	is.True(l.Allow(start, tiles).Allowed)       // the first request
	d := l.Allow(start, tiles)
	is.True(!d.Allowed)                                                  // a new bucket starts without a burst
	is.Equal(d.RetryAt, start.Add(time.Second))                          // retry time
	is.True(l.Allow(d.RetryAt, tiles).Allowed)                           // allowed at the retry time
	is.True(!l.Allow(start.Add(-time.Hour), tiles).Allowed)              // backward clock step
	is.True(l.Allow(start.Add(-time.Hour+2*time.Second), tiles).Allowed) // refills from the new time
}

func TestCollector(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := NewCollector("owner")
	for i, peer := range []string{"a", "b", "c"} {
		c.Observe(start, Usage{Peer: peer, Organisation: tiles, Rate: float64(i + 1), Routers: 1})
	}
	u, ok := c.Sum(start, tiles, "b")
	is.True(ok)
	is.Equal(u, Usage{Peer: "owner", Organisation: tiles, Rate: 4, Routers: 2}) // sum without the requesting router
	is.NoErr(u.Check())
	_, ok = c.Sum(start.Add(time.Minute), tiles, "b")
	is.True(!ok)                // stale reports are ignored
	is.Equal(len(c.reports), 0) // stale reports are deleted
}
