package shedder_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/routing/shedder"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// loadRow is a load on lanes that serve one request at a time.
type loadRow struct {
	Name    string    `json:"name"`
	Pattern string    `json:"pattern"`
	Lanes   int       `json:"lanes"`
	Speeds  []float64 `json:"speeds"`
	// Error is the factor by which estimates of work are off at most.
	Error float64 `json:"error"`
	// Impatient is the share of refused clients that return at once.
	Impatient float64    `json:"impatient"`
	FloodFrom float64    `json:"flood_from_s"`
	FloodTo   float64    `json:"flood_to_s"`
	Kinds     []loadKind `json:"kinds"`
	// OthersInTime is the least share of timely answers of organisations without a flood.
	OthersInTime float64 `json:"others_in_time"`
}

type loadKind struct {
	Organisation string  `json:"organisation"`
	Priority     int     `json:"priority"`
	PerSecond    float64 `json:"per_second"`
	Flood        float64 `json:"flood"`
	WorkMS       float64 `json:"work_ms"`
	ObjectiveMS  float64 `json:"objective_ms"`
	DeadlineMS   float64 `json:"deadline_ms"`
}

const (
	step        = 2 * time.Millisecond
	loadSeconds = 16
	// engineQueue is how many requests today's rule sends to a lane that is busy.
	engineQueue = 48
	longWork    = 50 * time.Millisecond
)

// client is a request with what the estimate does not know.
type client struct {
	shedder.Request
	kind     *loadKind
	first    time.Time
	work     time.Duration
	returned bool
}

// play holds one run of a load under one policy.
type play struct {
	row      loadRow
	policy   string
	rng      *rand.Rand
	now      time.Time
	coming   []*client
	waiting  []*client
	sent     []*client
	freeAt   []time.Time
	usage    shedder.Usage
	returns  time.Time
	inTime   map[*loadKind]int
	arrivals map[*loadKind]int
	seconds  [loadSeconds][2]int
	cost     float64
}

func run(row loadRow, policy string) *play {
	p := &play{row: row, policy: policy, rng: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0), freeAt: make([]time.Time, row.Lanes),
		inTime: make(map[*loadKind]int), arrivals: make(map[*loadKind]int)}
	start := p.now
	for n := range row.Kinds {
		p.generate(start, n, &row.Kinds[n])
	}
	for p.now.Before(start.Add((loadSeconds + 12) * time.Second)) {
		p.advance(start)
		p.now = p.now.Add(step)
	}
	return p
}

func (p *play) generate(start time.Time, n int, k *loadKind) {
	rng := rand.New(rand.NewPCG(uint64(n), 3))
	for at := 0.0; ; {
		rate := k.PerSecond
		if k.Flood > 0 && at >= p.row.FloodFrom && at < p.row.FloodTo {
			rate *= k.Flood
		}
		if at += rng.ExpFloat64() / rate; at >= loadSeconds {
			return
		}
		c := &client{kind: k, first: start.Add(seconds(at)), work: seconds(k.WorkMS / 1000 * (0.5 + rng.Float64()))}
		c.ArrivedAt, c.ID = c.first, fmt.Sprint(n, "-", at)
		c.Priority, c.Organisation = k.Priority, k.Organisation
		c.Deadline = c.first.Add(seconds(k.DeadlineMS / 1000))
		c.Work = time.Duration(float64(c.work) * math.Pow(max(p.row.Error, 1), 2*rng.Float64()-1))
		c.Hold = c.Work
		p.coming = append(p.coming, c)
		p.arrivals[k]++
		p.seconds[int(at)][0]++
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (p *play) advance(start time.Time) {
	for n := 0; n < len(p.coming); n++ {
		c := p.coming[n]
		if !c.ArrivedAt.After(p.now) {
			c.DueAt = c.ArrivedAt.Add(seconds(c.kind.ObjectiveMS / 1000))
			p.waiting = append(p.waiting, c)
			p.coming = slices.Delete(p.coming, n, n+1)
			n--
		}
	}
	switch p.policy {
	case "shedder":
		p.shed(start)
	case "today":
		p.applyTodaysRule(start)
	default:
		for p.free() >= 0 && len(p.waiting) > 0 {
			p.serve(start, p.waiting[0])
			p.waiting = p.waiting[1:]
		}
	}
}

func (p *play) shed(start time.Time) {
	if len(p.waiting) == 0 {
		return
	}
	requests := make([]*shedder.Request, 0, len(p.waiting))
	clients := make(map[*shedder.Request]*client, len(p.waiting))
	for _, c := range p.waiting {
		p.usage.Touch(p.now, c.Organisation)
		c.StartAt, c.Overuse = slices.MinFunc(p.freeAt, time.Time.Compare), p.usage.Overuse(p.now, c.Organisation)
		requests, clients[&c.Request] = append(requests, &c.Request), c
	}
	plan := shedder.Decide(p.now, requests, shedder.Capacity{Lanes: float64(p.row.Lanes), ReturnsFrom: p.returns, MinReturnAfter: 200 * time.Millisecond})
	p.returns, p.waiting = plan.ReturnsFrom, p.waiting[:0]
	for _, r := range plan.Refusals {
		p.refuse(clients[r.Request], r.ReturnAt, r.Final)
	}
	for _, place := range plan.Places {
		c := clients[place.Request]
		if p.free() < 0 {
			p.waiting = append(p.waiting, c)
			continue
		}
		p.usage.Record(p.now, c.Organisation, float64(c.work/time.Microsecond))
		p.serve(start, c)
	}
}

// applyTodaysRule sends requests by priority and deadline to engines, which queue
// them by priority. Long ones are held back while the queue is longer than their objective permits.
func (p *play) applyTodaysRule(start time.Time) {
	slices.SortStableFunc(p.waiting, func(a, b *client) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.Deadline.Compare(b.Deadline))
	})
	waiting := p.waiting
	p.waiting = nil
	backlog := time.Duration(0)
	for _, c := range p.sent {
		backlog += c.Work / time.Duration(p.row.Lanes)
	}
	for _, c := range waiting {
		objective, waited := c.DueAt.Sub(c.ArrivedAt), p.now.Sub(c.ArrivedAt)
		behind := c.Work >= longWork && backlog > max(objective-waited-c.Work, (objective-waited)/2)
		switch {
		case behind && waited >= objective/8:
			p.refuse(c, p.now.Add(min(backlog+300*time.Millisecond, 3*time.Second)), false)
		case !behind && len(p.sent) < engineQueue*p.row.Lanes:
			p.sent, backlog = append(p.sent, c), backlog+c.Work/time.Duration(p.row.Lanes)
		case waited >= objective*3/4:
			p.refuse(c, p.now.Add(time.Second), false)
		default:
			p.waiting = append(p.waiting, c)
		}
	}
	slices.SortStableFunc(p.sent, func(a, b *client) int { return cmp.Compare(a.Priority, b.Priority) })
	for p.free() >= 0 && len(p.sent) > 0 {
		p.serve(start, p.sent[0])
		p.sent = p.sent[1:]
	}
}

// free returns a lane that is free, or -1.
func (p *play) free() int {
	return slices.IndexFunc(p.freeAt, func(at time.Time) bool { return !at.After(p.now) })
}

func (p *play) serve(start time.Time, c *client) {
	weight := math.Pow(2, float64(2-c.Priority))
	if p.now.After(c.Deadline) {
		p.cost += weight // its client has left
		return
	}
	lane, speed := p.free(), 1.0
	if n := len(p.row.Speeds); n > 0 {
		speed = p.row.Speeds[lane%n]
	}
	p.freeAt[lane] = p.now.Add(time.Duration(float64(c.work) / speed))
	switch ended := p.freeAt[lane]; {
	case ended.After(c.Deadline):
		p.cost += weight
	case ended.Sub(c.first) > seconds(c.kind.ObjectiveMS/1000):
		p.cost += weight / 2
	default:
		p.inTime[c.kind]++
		p.seconds[int(c.first.Sub(start)/time.Second)][1]++
	}
}

func (p *play) refuse(c *client, returnAt time.Time, final bool) {
	if c.returned || final || returnAt.After(c.Deadline) {
		p.cost += math.Pow(2, float64(2-c.Priority))
		return
	}
	if c.returned = true; p.rng.Float64() < p.row.Impatient {
		returnAt = p.now.Add(step)
	}
	c.ArrivedAt = returnAt
	p.coming = append(p.coming, c)
}

// TestCostIsLowerThanThatOfOtherRules guards against an order that costs callers more
// than first come, first served or the rule before it, and against a collapse that
// outlasts its flood.
func TestCostIsLowerThanThatOfOtherRules(t *testing.T) {
	t.Parallel()
	var rows []loadRow
	scripter.Read(t, "testdata/loads.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			is.True(row.Pattern != "") // each row names its load pattern
			fcfs, today, got := run(row, "fcfs"), run(row, "today"), run(row, "shedder")
			t.Logf(row.Name+": cost: first come first served %.0f, today's rule %.0f, shedder %.0f", fcfs.cost, today.cost, got.cost)
			is.True(got.cost < fcfs.cost)
			is.True(got.cost < today.cost)
			for n := int(row.FloodTo) + 3; n < loadSeconds; n++ {
				if arrived, inTime := got.seconds[n][0], got.seconds[n][1]; inTime*10 < arrived*9 {
					t.Errorf("second %d: %d of %d in time", n, inTime, arrived)
				}
			}
			for n := range row.Kinds {
				k := &row.Kinds[n]
				share := float64(got.inTime[k]) / float64(got.arrivals[k])
				t.Logf("priority %d %s: in time %.3f, today's rule %.3f", k.Priority, k.Organisation, share, float64(today.inTime[k])/float64(today.arrivals[k]))
				if k.Flood == 0 && share < row.OthersInTime {
					t.Errorf("organisation %s: share in time %.3f", k.Organisation, share)
				}
			}
		})
	}
}
