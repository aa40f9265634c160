package admitter

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
)

// stream is the traffic of one organisation.
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

// load is one row of testdata/loads.json.
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

// margin is the time at either end of a run whose arrivals are not counted.
const margin = 30 * time.Second

// meanCost is the mean cost of a request, in tokens.
const meanCost = 500

// event happens to the fake at one moment. An empty id is an arrival.
type event struct {
	at     time.Time
	stream *source
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

// source is one organisation's traffic with what became of it.
type source struct {
	stream
	rng     *rand.Rand
	done    int
	refused int
	held    time.Duration
	offered time.Duration
	wait    time.Duration
	started int
}

type job struct {
	source   *source
	arrived  time.Time
	hold     time.Duration
	deadline time.Time
	// counted is true for arrivals away from the ends of the run.
	counted bool
}

// fake runs an Admitter in virtual time beside a pool of equal slots.
type fake struct {
	load    load
	start   time.Time
	admit   *Admitter
	events  events
	jobs    map[string]*job
	sources []*source
	next    int
	// early counts refusals that told to come back no later than now.
	early int
	// highest is the largest number of jobs that ran at one time.
	highest, running int
}

func newFake(l load, without string) *fake {
	policy := checker.AdmissionPolicy{
		QueueLength:  l.QueueLength,
		MaxWait:      l.MaxWait,
		BatchMaxWait: l.BatchMaxWait,
		BatchShare:   l.BatchShare,
		DemandWindow: l.DemandWindow,
	}
	f := &fake{
		load:  l,
		start: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
		admit: New(Config{Policy: policy, Slots: l.Slots}),
		jobs:  make(map[string]*job),
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
				f.arriveLater(f.start, src)
			}
		}
	}
	return f
}

func (f *fake) arriveLater(now time.Time, s *source) {
	at := now.Add(time.Duration(s.rng.ExpFloat64() / s.Rate * float64(time.Second)))
	cycle := s.On.Std() + s.Off.Std()
	if cycle > 0 && at.Sub(f.start)%cycle > s.On.Std() {
		at = f.start.Add(at.Sub(f.start).Truncate(cycle) + cycle)
	}
	heap.Push(&f.events, event{at: at, stream: s})
}

func (f *fake) run() {
	end := f.start.Add(f.load.Run.Std())
	for f.events.Len() > 0 {
		e := heap.Pop(&f.events).(event)
		if e.at.After(end) {
			return
		}
		f.expire(e.at)
		if e.id == "" {
			f.arrive(e.at, e.stream)
			f.arriveLater(e.at, e.stream)
			continue
		}
		f.finish(e.at, e.id)
	}
}

func (f *fake) expire(now time.Time) {
	for {
		due := f.admit.NextDeadline(now)
		if due.IsZero() || due.After(now) {
			return
		}
		f.apply(now, f.admit.Expire(now))
	}
}

func (f *fake) arrive(now time.Time, s *source) {
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
	j.counted = now.Sub(f.start) > margin && now.Sub(f.start) < f.load.Run.Std()-margin
	if j.counted {
		s.offered += j.hold
	}
	f.jobs[id] = j
	d := f.admit.Arrive(now, r)
	f.refuse(now, d.Displaced)
	switch d.Outcome {
	case Admitted:
		f.begin(now, id)
	case Refused:
		f.refuse(now, []Refusal{{ID: id, Err: d.Err}})
	}
}

func (f *fake) begin(now time.Time, id string) {
	j := f.jobs[id]
	j.source.started++
	j.source.wait += now.Sub(j.arrived)
	f.running++
	f.highest = max(f.highest, f.running)
	heap.Push(&f.events, event{at: now.Add(j.hold), id: id})
}

func (f *fake) finish(now time.Time, id string) {
	j := f.jobs[id]
	delete(f.jobs, id)
	f.running--
	j.source.done++
	if j.counted && (j.deadline.IsZero() || !now.After(j.deadline)) {
		j.source.held += j.hold
	}
	f.apply(now, f.admit.Finish(now, id))
}

func (f *fake) apply(now time.Time, e Effects) {
	f.refuse(now, e.Refused)
	for _, id := range e.Admitted {
		f.begin(now, id)
	}
}

func (f *fake) refuse(now time.Time, list []Refusal) {
	for _, r := range list {
		j := f.jobs[r.ID]
		delete(f.jobs, r.ID)
		j.source.refused++
		if !r.Err.RetryAt.After(now) {
			f.early++
		}
	}
}

// capacity is the slot time of the counted part of the run.
func (f *fake) capacity() time.Duration {
	return time.Duration(f.load.Slots) * (f.load.Run.Std() - 2*margin)
}

// fairShare is the slot time that the source is due: what it asks for, and no
// more than its weighted part of the capacity that the lighter ones leave.
func (f *fake) fairShare(s *source) time.Duration {
	left := float64(f.capacity())
	open := append([]*source(nil), f.sources...)
	for {
		weights := 0.0
		for _, o := range open {
			weights += float64(o.Weight)
		}
		var rest []*source
		used := 0.0
		for _, o := range open {
			if float64(o.offered) < left*float64(o.Weight)/weights {
				used += float64(o.offered)
				continue
			}
			rest = append(rest, o)
		}
		if len(rest) == len(open) || len(rest) == 0 {
			return min(s.offered, time.Duration(left*float64(s.Weight)/max(weights, 1)))
		}
		left -= used
		open = rest
	}
}

func (f *fake) meanWait() time.Duration {
	var wait time.Duration
	n := 0
	for _, s := range f.sources {
		if !s.Batch {
			wait += s.wait
			n += s.started
		}
	}
	return wait / time.Duration(max(n, 1))
}
