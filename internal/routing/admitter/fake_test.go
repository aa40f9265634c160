package admitter

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
)

// stream configures the traffic of one organisation.
// Rate is in requests per second. Understated is the factor by which the cost
// in a request is below the actual cost. Noise is the relative deviation of the
// hold time from the cost. Patience is the time from arrival to deadline. On and
// Off are the lengths of alternating periods with and without arrivals.
type stream struct {
	Organisation string           `json:"organisation"`
	Weight       int              `json:"weight"`
	Rate         float64          `json:"rate"`
	Understated  float64          `json:"understated"`
	Noise        float64          `json:"noise"`
	Patience     checker.Duration `json:"patience"`
	On           checker.Duration `json:"on"`
	Off          checker.Duration `json:"off"`
	Batch        bool             `json:"batch"`
	Copies       int              `json:"copies"`
}

// load is one test case of testdata/loads.json.
type load struct {
	Name          string           `json:"name"`
	Slots         int              `json:"slots"`
	Seed          uint64           `json:"seed"`
	Run           checker.Duration `json:"run"`
	QueueLength   int              `json:"queue_length"`
	MaxWait       checker.Duration `json:"max_wait"`
	BatchMaxWait  checker.Duration `json:"batch_max_wait"`
	BatchShare    float64          `json:"batch_share"`
	DemandWindow  checker.Duration `json:"demand_window"`
	Service       checker.Duration `json:"service"`
	Streams       []stream         `json:"streams"`
	Without       string           `json:"compare_without"`
	MinFairShare  float64          `json:"min_fair_share"`
	MinUseful     float64          `json:"min_useful"`
	MaxWaitGrowth float64          `json:"max_wait_growth"`
	WaitFloor     checker.Duration `json:"wait_floor"`
	MinBatchDone  int              `json:"min_batch_done"`
}

// margin is the time at the start and at the end of a run whose arrivals are not
// measured, so that filling the queue and requests unfinished at the end don't
// affect the results.
const margin = 30 * time.Second

// meanCost is the mean cost of a request in tokens.
const meanCost = 500

// event is a simulated arrival, or the end of job id if id is not empty.
type event struct {
	at     time.Time
	source *source
	id     string
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// source generates the traffic of one organisation and counts the results.
type source struct {
	stream
	rng         *rand.Rand
	completed   int
	refused     int
	usefulHold  time.Duration
	offeredHold time.Duration
	totalWait   time.Duration
	started     int
}

type job struct {
	source   *source
	arrived  time.Time
	hold     time.Duration
	deadline time.Time
	// measured is true for arrivals outside the margins of the run.
	measured bool
}

// fakeRouter runs an Admitter in virtual time with simulated arrivals and slots.
type fakeRouter struct {
	load     load
	start    time.Time
	admitter *Admitter
	events   events
	jobs     map[string]*job
	sources  []*source
	next     int
	// pastRetries counts refusals whose retry time was not in the future.
	pastRetries int
	// maxRunning is the largest number of jobs that ran at the same time.
	maxRunning, running int
}

func newFakeRouter(l load, without string) *fakeRouter {
	policy := checker.AdmissionPolicy{
		QueueLength:  l.QueueLength,
		MaxWait:      l.MaxWait,
		BatchMaxWait: l.BatchMaxWait,
		BatchShare:   l.BatchShare,
		DemandWindow: l.DemandWindow,
	}
	f := &fakeRouter{
		load:     l,
		start:    time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
		admitter: New(Config{Policy: policy, Slots: l.Slots}),
		jobs:     make(map[string]*job),
	}
	for _, s := range l.Streams {
		for i := range max(s.Copies, 1) {
			seed := uint64(len(f.sources))
			src := &source{stream: s, rng: rand.New(rand.NewPCG(l.Seed, seed))}
			if s.Copies > 0 {
				src.Organisation = fmt.Sprintf("%s-%d", s.Organisation, i)
			}
			src.Understated = max(s.Understated, 1)
			f.sources = append(f.sources, src)
			if s.Organisation != without {
				f.scheduleArrival(f.start, src)
			}
		}
	}
	return f
}

func (f *fakeRouter) scheduleArrival(now time.Time, s *source) {
	at := now.Add(time.Duration(s.rng.ExpFloat64() / s.Rate * float64(time.Second)))
	cycle := s.On.Std() + s.Off.Std()
	if cycle > 0 && at.Sub(f.start)%cycle > s.On.Std() {
		at = f.start.Add(at.Sub(f.start).Truncate(cycle) + cycle)
	}
	heap.Push(&f.events, event{at: at, source: s})
}

func (f *fakeRouter) run() {
	end := f.start.Add(f.load.Run.Std())
	for f.events.Len() > 0 {
		e := heap.Pop(&f.events).(event)
		if e.at.After(end) {
			return
		}
		f.expire(e.at)
		if e.id == "" {
			f.arrive(e.at, e.source)
			f.scheduleArrival(e.at, e.source)
			continue
		}
		f.finish(e.at, e.id)
	}
}

func (f *fakeRouter) expire(now time.Time) {
	for {
		due := f.admitter.NextDeadline(now)
		if due.IsZero() || due.After(now) {
			return
		}
		f.apply(now, f.admitter.Expire(now))
	}
}

func (f *fakeRouter) arrive(now time.Time, s *source) {
	f.next++
	id := fmt.Sprint(f.next)
	cost := s.rng.ExpFloat64()*meanCost + 1
	j := &job{source: s, arrived: now}
	j.hold = time.Duration(cost / meanCost * float64(f.load.Service.Std()))
	r := Request{ID: id, Organisation: s.Organisation, Weight: s.Weight, Cost: cost / s.Understated}
	if s.Batch {
		r.Priority = checker.Batch
	}
	if s.Patience > 0 {
		j.deadline = now.Add(s.Patience.Std())
		r.Deadline = j.deadline
	}
	if s.Noise > 0 {
		j.hold = time.Duration(float64(j.hold) * (1 + s.Noise*(2*s.rng.Float64()-1)))
	}
	j.measured = now.Sub(f.start) > margin && now.Sub(f.start) < f.load.Run.Std()-margin
	if j.measured {
		s.offeredHold += j.hold
	}
	f.jobs[id] = j
	d := f.admitter.Arrive(now, r)
	f.recordRefusals(now, d.Displaced)
	switch d.Outcome {
	case Admitted:
		f.startJob(now, id)
	case Refused:
		f.recordRefusals(now, []Refusal{{ID: id, Err: d.Err}})
	}
}

func (f *fakeRouter) startJob(now time.Time, id string) {
	j := f.jobs[id]
	j.source.started++
	j.source.totalWait += now.Sub(j.arrived)
	f.running++
	f.maxRunning = max(f.maxRunning, f.running)
	heap.Push(&f.events, event{at: now.Add(j.hold), id: id})
}

func (f *fakeRouter) finish(now time.Time, id string) {
	j := f.jobs[id]
	delete(f.jobs, id)
	f.running--
	j.source.completed++
	if j.measured && (j.deadline.IsZero() || !now.After(j.deadline)) {
		j.source.usefulHold += j.hold
	}
	f.apply(now, f.admitter.Finish(now, id))
}

func (f *fakeRouter) apply(now time.Time, e Effects) {
	f.recordRefusals(now, e.Refused)
	for _, id := range e.Admitted {
		f.startJob(now, id)
	}
}

func (f *fakeRouter) recordRefusals(now time.Time, refusals []Refusal) {
	for _, r := range refusals {
		j := f.jobs[r.ID]
		delete(f.jobs, r.ID)
		j.source.refused++
		if !r.Err.RetryAt.After(now) {
			f.pastRetries++
		}
	}
}

// capacity returns the total slot time of the run without its margins.
func (f *fakeRouter) capacity() time.Duration {
	return time.Duration(f.load.Slots) * (f.load.Run.Std() - 2*margin)
}

// fairShare returns the max-min fair share of the source in slot time: its
// offered load, limited to its weighted share of the capacity that remains
// after all sources that offer less than their share are served.
func (f *fakeRouter) fairShare(s *source) time.Duration {
	remaining := float64(f.capacity())
	unsatisfied := append([]*source(nil), f.sources...)
	for {
		weights := 0.0
		for _, o := range unsatisfied {
			weights += float64(o.Weight)
		}
		var saturated []*source
		used := 0.0
		for _, o := range unsatisfied {
			if float64(o.offeredHold) < remaining*float64(o.Weight)/weights {
				used += float64(o.offeredHold)
				continue
			}
			saturated = append(saturated, o)
		}
		if len(saturated) == len(unsatisfied) || len(saturated) == 0 {
			return min(s.offeredHold, time.Duration(remaining*float64(s.Weight)/max(weights, 1)))
		}
		remaining -= used
		unsatisfied = saturated
	}
}

func (f *fakeRouter) meanWait() time.Duration {
	var wait time.Duration
	n := 0
	for _, s := range f.sources {
		if !s.Batch {
			wait += s.totalWait
			n += s.started
		}
	}
	return wait / time.Duration(max(n, 1))
}
