package rehearser

import (
	"cmp"
	"slices"
	"time"
)

// slice is the length of the times into which the bound divides a load. Windows
// of requests are rounded outwards, so that the bound stays one.
const slice = 100 * time.Millisecond

// job is the work of a request that is answered in time.
type job struct {
	// first and last are the slices in which it may be done.
	first, last int
	work        time.Duration
	// gain is the benefit of an answer in time beyond that of a late one.
	gain float64
}

// bound returns the benefit that no scheduler can pass. It knows all requests
// beforehand, divides each among engines at will, finds every shared part read
// already, and answers late for nothing what it does not answer in time. Of the
// rest it takes those with the highest gain for each millisecond of an engine;
// since what fits into windows of time is a polymatroid, no other choice earns
// more.
func (l *Load) bound(list []arrival) float64 {
	total := 0.0
	var jobs []job
	for _, a := range list {
		total += a.kind.Late
		work := time.Duration(float64(a.own) / l.Engines.ReadPerMS * float64(time.Millisecond))
		step := time.Duration(l.Engines.StepMS * float64(time.Millisecond))
		due := a.at + millis(a.kind.ObjectiveMS) - step
		if work > due-a.at || a.kind.Worth <= a.kind.Late {
			continue // no engine is quick enough, or nothing is gained
		}
		jobs = append(jobs, job{first: int(a.at / slice), last: int((due - 1) / slice), work: work, gain: a.kind.Worth - a.kind.Late})
	}
	slices.SortStableFunc(jobs, func(a, b job) int {
		return cmp.Compare(b.gain*float64(a.work), a.gain*float64(b.work))
	})
	w := newWindows(l, jobs)
	for _, j := range jobs {
		taken := min(w.room(j), j.work)
		w.take(j, taken)
		total += j.gain * float64(taken) / float64(j.work)
	}
	return total
}

// windows keeps how much work fits into each span of slices beside what was
// taken already.
type windows struct {
	slices int
	// left[i][j] is the room in slices i to j.
	left [][]time.Duration
}

func newWindows(l *Load, jobs []job) *windows {
	w := &windows{}
	for _, j := range jobs {
		w.slices = max(w.slices, j.last+1)
	}
	w.left = make([][]time.Duration, w.slices)
	for i := range w.left {
		w.left[i] = make([]time.Duration, w.slices)
		sum := time.Duration(0)
		for j := i; j < w.slices; j++ {
			sum += l.capacity(j)
			w.left[i][j] = sum
		}
	}
	return w
}

// capacity is the time that engines have in a slice.
func (l *Load) capacity(n int) time.Duration {
	begin := time.Duration(n) * slice
	engines := float64(l.Engines.Count)
	for _, c := range l.Crashes {
		if begin >= millis(c.AtMS) && begin+slice <= millis(c.AtMS+c.ForMS) {
			engines -= float64(int(c.Share * float64(l.Engines.Count)))
		}
	}
	return time.Duration(max(engines, 0) * float64(slice))
}

// room is how much more work fits into a job's window.
func (w *windows) room(j job) time.Duration {
	room := w.left[j.first][j.last]
	for i := j.first; i >= 0; i-- {
		room = min(room, slices.Min(w.left[i][j.last:]))
	}
	return max(room, 0)
}

func (w *windows) take(j job, work time.Duration) {
	if work == 0 {
		return
	}
	for i := j.first; i >= 0; i-- {
		row := w.left[i][j.last:]
		for n := range row {
			row[n] -= work
		}
	}
}
