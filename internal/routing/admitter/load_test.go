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
			f := newFakeRouter(l, "")
			f.run()
			is.Equal(f.pastRetries, 0)            // every refusal has a retry time in the future
			is.True(f.maxRunning <= f.load.Slots) // no more jobs run than there are slots
			checkFairShares(t, f)
			checkUsefulWork(t, f)
			checkBatchImpact(t, f)
		})
	}
}

func checkFairShares(t *testing.T, f *fakeRouter) {
	t.Helper()
	if f.load.MinFairShare == 0 {
		return
	}
	lowest := 1e9
	for _, s := range f.sources {
		ratio := float64(s.usefulHold) / float64(f.fairShare(s))
		lowest = min(lowest, ratio)
		if ratio < f.load.MinFairShare {
			t.Errorf("%s got %.3f of its fair share, want at least %.2f", s.Organisation, ratio, f.load.MinFairShare)
		}
	}
	t.Logf("lowest fraction of a fair share: %.3f", lowest)
}

func checkUsefulWork(t *testing.T, f *fakeRouter) {
	t.Helper()
	if f.load.MinUseful == 0 {
		return
	}
	var held float64
	for _, s := range f.sources {
		held += float64(s.usefulHold)
	}
	ratio := held / float64(f.capacity())
	t.Logf("slot time of requests that met their deadline: %.3f of the capacity", ratio)
	is.New(t).True(ratio >= f.load.MinUseful) // fraction of the capacity spent on requests that met their deadline
}

func checkBatchImpact(t *testing.T, f *fakeRouter) {
	t.Helper()
	if f.load.Without == "" {
		return
	}
	withoutBatch := newFakeRouter(f.load, f.load.Without)
	withoutBatch.run()
	done := 0
	for _, s := range f.sources {
		if s.Batch {
			done += s.completed
		}
	}
	maxWait := float64(withoutBatch.meanWait())*(1+f.load.MaxWaitGrowth) + float64(f.load.WaitFloor)
	t.Logf("mean interactive wait: %s without batch, %s with %d completed batch requests", withoutBatch.meanWait(), f.meanWait(), done)
	is.New(t).True(float64(f.meanWait()) <= maxWait) // batch requests hardly increase the interactive wait
	is.New(t).True(done >= f.load.MinBatchDone)      // batch requests use the spare slots
}
