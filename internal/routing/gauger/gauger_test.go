package gauger_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/routing/gauger"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// engineRow is an engine in a phase: its true speed, its prompts per second, and the share
// of prompts that give an outlier instead of a sample.
type engineRow struct {
	Upstream    string  `json:"upstream"`
	Service     string  `json:"service"`
	Started     int64   `json:"started"`
	Speed       float64 `json:"speed"`
	PerSecond   int     `json:"per_second"`
	QueueTokens int     `json:"queue_tokens"`
	// Outliers is the share of samples whose time is multiplied by OutlierRatio.
	Outliers     float64 `json:"outliers"`
	OutlierRatio float64 `json:"outlier_ratio"`
}

// phaseRow is a time in which the engines do not change. At its end, the factor of each
// engine in Want is within a share of Tolerance.
type phaseRow struct {
	Seconds int                `json:"seconds"`
	Engines []engineRow        `json:"engines"`
	Want    map[string]float64 `json:"want"`
}

type scenarioRow struct {
	Name      string     `json:"name"`
	Pattern   string     `json:"pattern"`
	Tolerance float64    `json:"tolerance"`
	Phases    []phaseRow `json:"phases"`
}

// TestFactors guards against factors that are wrong under the load patterns of the rows: of
// uneven, changing and failing engines, with few samples and with full queues.
func TestFactors(t *testing.T) {
	t.Parallel()
	var rows []scenarioRow
	scripter.Read(t, "testdata/scenarios.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is.New(t).True(row.Pattern != "")
			for seed := range uint64(10) {
				play(t, row, seed)
			}
		})
	}
}

func play(t *testing.T, row scenarioRow, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	now := time.Unix(1_700_000_000, 0)
	g, vm := gauger.New(), gauger.Sums{}
	for n, phase := range row.Phases {
		for range phase.Seconds {
			for _, e := range phase.Engines {
				for range e.PerSecond {
					vm.Add(sample(rng, e))
				}
			}
			for _, s := range vm.Drain() {
				g.Observe(now, s)
			}
			now = now.Add(time.Second)
			g.Update(now)
		}
		for upstream, want := range phase.Want {
			if got := g.Factor(upstream); math.Abs(math.Log(got/want)) > math.Log(1+row.Tolerance) {
				t.Errorf("seed %d, phase %d: factor of %s is %.2f, want %.2f", seed, n, upstream, got, want)
			}
		}
	}
}

// sample returns the sample of a prompt of 3,720 tokens behind the queue, with a noise of a
// fifth. The engine needs 25 us per token at speed 1, where 20 us are expected.
func sample(rng *rand.Rand, e engineRow) gauger.Sample {
	expected := time.Duration(e.QueueTokens+3720) * 20 * time.Microsecond
	observed := 1.25 * float64(expected) / e.Speed * math.Exp(0.2*rng.NormFloat64())
	if rng.Float64() < e.Outliers {
		observed *= e.OutlierRatio
	}
	return gauger.Sample{
		Upstream: e.Upstream, StartedMillis: e.Started, Service: e.Service,
		Observed: time.Duration(observed), Expected: expected, Count: 1,
	}
}

// TestInvalidSamplesAreIgnored guards against reports with values that would distort the
// estimate or are not numbers.
func TestInvalidSamplesAreIgnored(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := gauger.New()
	now := time.Unix(1_700_000_000, 0)
	good := gauger.Sample{Upstream: "a", Observed: time.Second, Expected: time.Second, Count: 1}
	is.True(good.Valid())
	for _, change := range []func(*gauger.Sample){
		func(s *gauger.Sample) { s.Upstream = "" },
		func(s *gauger.Sample) { s.Observed = 0 },
		func(s *gauger.Sample) { s.Expected = -1 },
		func(s *gauger.Sample) { s.Count = gauger.MaxCount + 1 },
		func(s *gauger.Sample) { s.Observed = math.MaxInt64 },
	} {
		bad := good
		change(&bad)
		is.True(!bad.Valid())
		g.Observe(now, bad)
	}
	is.Equal(len(g.Update(now)), 0)
}

// TestOnlyChangesArePublished guards against a factor in each message: engines of equal speed
// have none, and an engine that is forgotten is published once as 1.
func TestOnlyChangesArePublished(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1_700_000_000, 0)
	g := gauger.New()
	published := 0
	for range 60 {
		for _, e := range []engineRow{{Upstream: "a", Speed: 1}, {Upstream: "b", Speed: 1}, {Upstream: "c", Speed: 0.5}, {Upstream: "d", Speed: 2}} {
			g.Observe(now, sample(rng, e))
		}
		now = now.Add(time.Second)
		published += len(g.Update(now))
	}
	is.True(published < 24) // four engines in a minute
	is.Equal(len(g.Update(now)), 0)
	changed := g.Update(now.Add(5 * time.Minute))
	is.Equal(len(g.Factors()), 0)
	for _, f := range changed {
		is.Equal(f.Factor, 1.0)
	}
}
