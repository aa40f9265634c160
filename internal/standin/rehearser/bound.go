package rehearser

import (
	"cmp"
	"slices"
	"time"
)

// sliceDuration is the length of the time slices into which the bound divides a
// load. Request windows are rounded outwards to whole slices, which keeps the
// result an upper bound.
const sliceDuration = 100 * time.Millisecond

// job is the time of an engine of speed 1 that a request needs to meet its objective.
type job struct {
	// first and last delimit the slices in which the work may be done.
	first, last int
	work        time.Duration
	// gain is the benefit of a response in time minus that of a late one.
	gain float64
}

// bound returns an upper bound on the benefit that any scheduler can earn. It
// assumes that all requests are known in advance, that each can be split freely
// among engines, that every shared part is already cached, and that late
// responses cost no engine time. Engine time goes to the requests with the
// highest gain per millisecond first. This greedy choice is optimal because the
// amounts of work that fit into the time windows form a polymatroid.
func (l *Load) bound(list []arrival) float64 {
	total := 0.0
	_, _, fastest := l.Engines.totalSpeed()
	var jobs []job
	for _, a := range list {
		total += a.kind.LateBenefit
		work := time.Duration(float64(a.ownTokens) / l.Engines.PrefillTokensPerMS * float64(time.Millisecond))
		step := time.Duration(l.Engines.StepMS / fastest * float64(time.Millisecond))
		due := a.at + millis(a.kind.ObjectiveMS) - step
		if time.Duration(float64(work)/fastest) > due-a.at || a.kind.Benefit <= a.kind.LateBenefit {
			continue // the objective can't be met, or meeting it gains nothing
		}
		jobs = append(jobs, job{first: int(a.at / sliceDuration), last: int((due - 1) / sliceDuration), work: work, gain: a.kind.Benefit - a.kind.LateBenefit})
	}
	slices.SortStableFunc(jobs, func(a, b job) int {
		return cmp.Compare(b.gain*float64(a.work), a.gain*float64(b.work))
	})
	w := newWindows(l, jobs)
	for _, j := range jobs {
		reserved := min(w.freeTime(j), j.work)
		w.reserve(j, reserved)
		total += j.gain * float64(reserved) / float64(j.work)
	}
	return total
}

// windows tracks the free engine time in each range of slices.
type windows struct {
	slices int
	// free[i][j] is the unreserved engine time in slices i to j.
	free [][]time.Duration
}

func newWindows(l *Load, jobs []job) *windows {
	w := &windows{}
	for _, j := range jobs {
		w.slices = max(w.slices, j.last+1)
	}
	w.free = make([][]time.Duration, w.slices)
	for i := range w.free {
		w.free[i] = make([]time.Duration, w.slices)
		sum := time.Duration(0)
		for j := i; j < w.slices; j++ {
			sum += l.capacity(j)
			w.free[i][j] = sum
		}
	}
	return w
}

// capacity returns the total time of engines of speed 1 in a slice. Crashed engines count
// as the slowest ones, and as available in slices that their downtime covers only partly.
// Engines that slow down count with their usual speed.
func (l *Load) capacity(n int) time.Duration {
	begin := time.Duration(n) * sliceDuration
	engines, slowest, _ := l.Engines.totalSpeed()
	for _, c := range l.Crashes {
		if begin >= millis(c.AtMS) && begin+sliceDuration <= millis(c.AtMS+c.ForMS) {
			engines -= slowest * float64(int(c.Share*float64(l.Engines.Count)))
		}
	}
	return time.Duration(max(engines, 0) * float64(sliceDuration))
}

// freeTime returns the amount of work that still fits into a job's window.
func (w *windows) freeTime(j job) time.Duration {
	free := w.free[j.first][j.last]
	for i := j.first; i >= 0; i-- {
		free = min(free, slices.Min(w.free[i][j.last:]))
	}
	return max(free, 0)
}

// reserve subtracts work from every range of slices that contains the job's window.
func (w *windows) reserve(j job, work time.Duration) {
	if work == 0 {
		return
	}
	for i := j.first; i >= 0; i-- {
		row := w.free[i][j.last:]
		for n := range row {
			row[n] -= work
		}
	}
}
