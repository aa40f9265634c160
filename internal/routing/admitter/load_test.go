package admitter

import (
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/testing/scripter"
)

func readRows[T any](t testing.TB, path string) []T {
	t.Helper()
	var rows []T
	scripter.Read(t, path, &rows)
	return rows
}

func TestLoads(t *testing.T) {
	t.Parallel()
	for _, l := range readRows[load](t, "testdata/loads.json") {
		t.Run(l.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFake(l, "")
			f.run()
			is.Equal(f.early, 0)               // every refusal names a later moment
			is.True(f.highest <= f.load.Slots) // never more than the slots
			checkShares(t, f)
			checkUseful(t, f)
			checkBatch(t, f)
		})
	}
}

func checkShares(t *testing.T, f *fake) {
	t.Helper()
	if f.load.MinFairShare == 0 {
		return
	}
	lowest := 1e9
	for _, s := range f.sources {
		ratio := float64(s.held) / float64(f.fairShare(s))
		lowest = min(lowest, ratio)
		if ratio < f.load.MinFairShare {
			t.Errorf("%s got %.3f of its fair share, wants %.2f", s.Organisation, ratio, f.load.MinFairShare)
		}
	}
	t.Logf("lowest part of a fair share: %.3f", lowest)
}

func checkUseful(t *testing.T, f *fake) {
	t.Helper()
	if f.load.MinUseful == 0 {
		return
	}
	var held float64
	for _, s := range f.sources {
		held += float64(s.held)
	}
	ratio := held / float64(f.capacity())
	t.Logf("useful work: %.3f of the capacity", ratio)
	is.New(t).True(ratio >= f.load.MinUseful) // useful work under overload
}

func checkBatch(t *testing.T, f *fake) {
	t.Helper()
	if f.load.Without == "" {
		return
	}
	alone := newFake(f.load, f.load.Without)
	alone.run()
	done := 0
	for _, s := range f.sources {
		if s.Batch {
			done += s.done
		}
	}
	highest := float64(alone.meanWait())*(1+f.load.MaxWaitGrowth) + float64(f.load.WaitFloor)
	t.Logf("interactive wait %s alone, %s beside %d batch requests", alone.meanWait(), f.meanWait(), done)
	is.New(t).True(float64(f.meanWait()) <= highest) // batch work moves the interactive wait
	is.New(t).True(done >= f.load.MinBatchDone)      // batch work fills what is spare
}
