package rehearser

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/routing/withholder"
)

const (
	// refusalTime is the time until a VM has the response of an engine that refuses a
	// request.
	refusalTime = 2 * time.Millisecond
	// holdOffSlack is how long after a refusal requests that were already sent may arrive,
	// and maxInHoldOff the number that may arrive from then to the end of the hold-off.
	holdOffSlack = 500 * time.Millisecond
	maxInHoldOff = 2
	// noticeStream selects the random numbers of notices, so that equal seeds have equal
	// requests with and without them.
	noticeStream = 2
)

// Departure makes a share of the engines state in the responses to later requests that
// they are leaving. Each is replaced by an engine with an empty cache.
type Departure struct {
	AtMS int `json:"at_ms"`
	// EveryMS is the interval between repetitions, 0 for none.
	EveryMS int     `json:"every_ms"`
	Share   float64 `json:"share"`
	// DrainMS is how long after the statement a VM may send requests.
	DrainMS int `json:"drain_ms"`
	// EntryAfterMS is the delay until the entry in the store shows the same. It never does
	// if EntryAfterMS is negative.
	EntryAfterMS    int `json:"entry_after_ms"`
	ReplacedAfterMS int `json:"replaced_after_ms"`
}

// Refusal makes a share of the engines refuse requests until the end of a hold-off, whose
// length is drawn for each of them.
type Refusal struct {
	AtMS         int     `json:"at_ms"`
	EveryMS      int     `json:"every_ms"`
	Share        float64 `json:"share"`
	MinHoldOffMS int     `json:"min_hold_off_ms"`
	MaxHoldOffMS int     `json:"max_hold_off_ms"`
}

func (d Departure) validate() error {
	if d.Share <= 0 || d.Share >= 1 || d.EveryMS < 0 || d.DrainMS <= 0 || d.ReplacedAfterMS < d.DrainMS {
		return fmt.Errorf("share, interval, drain or end of departure: %w", errOutOfRange)
	}
	return nil
}

func (f Refusal) validate() error {
	if f.Share <= 0 || f.Share > 1 || f.EveryMS < 0 || f.MinHoldOffMS <= 0 || f.MaxHoldOffMS < f.MinHoldOffMS {
		return fmt.Errorf("share, interval or hold-off of refusal: %w", errOutOfRange)
	}
	return nil
}

// statement is what an engine states in its responses, and what VMs have received of it.
type statement struct {
	// drain is above 0 if the engine is leaving, which its entry shows from entryAt on.
	drain   time.Duration
	entryAt time.Duration
	// refusesUntil is the end of the hold-off.
	refusesUntil time.Duration
	// leavingAt and refusedAt hold when each VM received a statement first, and arrivals
	// its requests in the hold-off.
	leavingAt, refusedAt map[int]time.Duration
	arrivals             map[int]int
}

func newStatement() statement {
	return statement{
		entryAt: never, leavingAt: make(map[int]time.Duration),
		refusedAt: make(map[int]time.Duration), arrivals: make(map[int]int),
	}
}

// never is later than the end of any load.
const never = time.Duration(1<<63 - 1)

// scheduleNotices schedules the departures and refusals of the load.
func (r *simulation) scheduleNotices(seed uint64) {
	r.noticeRNG = rand.New(rand.NewPCG(seed, noticeStream))
	for range r.load.VMs {
		r.withholders = append(r.withholders, withholder.New(r.load.withholding()))
	}
	for _, d := range r.load.Departures {
		r.repeat(d.AtMS, d.EveryMS, func(now time.Duration) { r.depart(now, d) })
	}
	for _, f := range r.load.Refusals {
		r.repeat(f.AtMS, f.EveryMS, func(now time.Duration) { r.refuse(now, f) })
	}
}

// withholding returns the bounds for notices, which are those of the load.
func (l *Load) withholding() withholder.Config {
	cfg := withholder.Config{Drain: l.end(), MaxHoldOff: l.end()}
	for _, d := range l.Departures {
		cfg.Drain = min(cfg.Drain, millis(d.DrainMS))
	}
	return cfg
}

// repeat schedules run at a time and then at an interval, if it is above 0.
func (r *simulation) repeat(atMS, everyMS int, run func(now time.Duration)) {
	for at := millis(atMS); at < r.load.end(); at += millis(everyMS) {
		r.schedule(at, run)
		if everyMS == 0 {
			return
		}
	}
}

// drawEngines draws a share of the engines.
func (r *simulation) drawEngines(share float64) []int {
	return r.noticeRNG.Perm(len(r.engines))[:max(int(share*float64(len(r.engines))), 1)]
}

// depart makes engines leave and schedules their replacement.
func (r *simulation) depart(now time.Duration, d Departure) {
	for _, n := range r.drawEngines(d.Share) {
		s := &r.engines[n].statement
		if s.drain > 0 {
			continue
		}
		s.drain = millis(d.DrainMS)
		if d.EntryAfterMS >= 0 {
			s.entryAt = now + millis(d.EntryAfterMS)
		}
		r.schedule(now+millis(d.ReplacedAfterMS), func(now time.Duration) { r.replace(now, n) })
	}
}

// replace starts an engine in the place of one that leaves.
func (r *simulation) replace(now time.Duration, n int) {
	e := r.engines[n]
	e.crash(now)
	e.statement = newStatement()
	next := *r.upstreams[n]
	next.ID, next.StartedAt = fmt.Sprintf("%s.%d", next.ID, e.incarnation), r.epoch.Add(now)
	upstreams := append([]*registrar.Upstream(nil), r.upstreams...)
	upstreams[n] = &next
	r.upstreams = upstreams
	r.index[next.ID] = n
}

// refuse makes engines refuse requests.
func (r *simulation) refuse(now time.Duration, f Refusal) {
	for _, n := range r.drawEngines(f.Share) {
		s := &r.engines[n].statement
		holdOff := millis(f.MinHoldOffMS + r.noticeRNG.IntN(f.MaxHoldOffMS-f.MinHoldOffMS+1))
		s.refusesUntil = now + holdOff
		s.refusedAt, s.arrivals = make(map[int]time.Duration), make(map[int]int)
	}
}

// isOpen reports whether a VM may send a request to an engine, by its entry and by what
// its responses to this VM have stated.
func (r *simulation) isOpen(now time.Duration, vm, n int) bool {
	return now < r.engines[n].statement.entryAt &&
		r.withholders[vm].Access(r.epoch.Add(now), r.upstreams[n]) == withholder.Open
}

// arrive counts a request that reaches an engine in spite of what its VM has received. It
// returns false if the engine refuses it.
func (r *simulation) arrive(now time.Duration, vm, n int) bool {
	s := &r.engines[n].statement
	if receivedAt, ok := s.leavingAt[vm]; ok && now > receivedAt+s.drain {
		r.result.AfterNotices++
	}
	if now >= s.refusesUntil {
		return true
	}
	receivedAt, ok := s.refusedAt[vm]
	if ok && now > receivedAt+holdOffSlack {
		s.arrivals[vm]++
		if s.arrivals[vm] > maxInHoldOff {
			r.result.AfterNotices++
		}
	}
	return false
}

// respond records what the response of an engine to an accepted request states. The
// request was sent at a time to u.
func (r *simulation) respond(now, sentAt time.Duration, vm, n int, u *registrar.Upstream) {
	s := &r.engines[n].statement
	notice := withholder.Notice{Instance: u.ID, Accepted: true, Leaving: s.drain > 0, SentAt: r.epoch.Add(sentAt)}
	if notice.Leaving {
		record(s.leavingAt, vm, now)
	}
	r.withholders[vm].Record(r.epoch.Add(now), u, notice)
}

// respondRefusal schedules the response of an engine that refuses a request now.
func (r *simulation) respondRefusal(sentAt time.Duration, vm, n int) {
	u, s := r.upstreams[n], r.engines[n].statement // the maps are those of this incarnation
	r.schedule(sentAt+refusalTime, func(now time.Duration) {
		notice := withholder.Notice{Instance: u.ID, Leaving: s.drain > 0, HoldOff: max(s.refusesUntil-now, 0), SentAt: r.epoch.Add(sentAt)}
		if notice.Leaving {
			record(s.leavingAt, vm, now)
		}
		record(s.refusedAt, vm, now)
		r.withholders[vm].Record(r.epoch.Add(now), u, notice)
	})
}

// record sets the time of a VM unless it has one.
func record(times map[int]time.Duration, vm int, now time.Duration) {
	if _, ok := times[vm]; !ok {
		times[vm] = now
	}
}
