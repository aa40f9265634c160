package shedder_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentianstep.example/gentianstep/internal/routing/shedder"
)

var now = time.Unix(1000, 0)

// drawRequests draws requests of which many are equal in part of their rank.
func drawRequests(t *rapid.T) []*shedder.Request {
	list := make([]*shedder.Request, rapid.IntRange(0, 40).Draw(t, "requests"))
	ms := func(name string, low, high int) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, name)) * time.Millisecond
	}
	for n := range list {
		r := &shedder.Request{ID: fmt.Sprint(n), Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Overuse: rapid.IntRange(0, 2).Draw(t, "overuse")}
		r.ArrivedAt = now.Add(-ms("waited", 0, 300))
		r.DueAt, r.Deadline = r.ArrivedAt.Add(ms("objective", 50, 1000)), r.ArrivedAt.Add(ms("deadline", 100, 2000))
		r.StartAt, r.Work, r.Hold = now.Add(ms("start", -50, 400)), ms("work", 1, 400), ms("hold", 1, 400)
		list[n] = r
	}
	return list
}

// startOf returns the start of r behind the kept requests in time that rank before it, or
// behind all of those and the late ones that rank before it.
func startOf(plan shedder.Plan, r *shedder.Request, lanes float64, late bool) time.Time {
	ahead := time.Duration(0)
	for _, p := range plan.Places {
		if isAhead(p, r, late) {
			ahead += p.Request.Hold
		}
	}
	at := r.StartAt
	if at.Before(now) {
		at = now
	}
	return at.Add(time.Duration(float64(ahead) / lanes))
}

func isAhead(p shedder.Place, r *shedder.Request, late bool) bool {
	if p.Late {
		// An hour later both are late, and rank alone decides.
		return late && shedder.Compare(now.Add(time.Hour), p.Request, r) < 0
	}
	return late || shedder.Compare(now, p.Request, r) < 0
}

// inTimeBy returns the time by which a request is answered in time: that of its objective, or
// its deadline if that is earlier.
func inTimeBy(r *shedder.Request) time.Time {
	if r.Deadline.Before(r.DueAt) {
		return r.Deadline
	}
	return r.DueAt
}

// TestNoRequestIsRefusedForOneThatCostsLess guards against a request that is refused, or
// made late, although it could be served if requests that rank lower gave up their places.
func TestNoRequestIsRefusedForOneThatCostsLess(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		requests := drawRequests(t)
		lanes := rapid.Float64Range(0.2, 8).Draw(t, "lanes")
		plan := shedder.Decide(now, requests, shedder.Capacity{Lanes: lanes})
		if len(plan.Places)+len(plan.Refusals) != len(requests) {
			t.Fatalf("%d of %d requests are decided", len(plan.Places)+len(plan.Refusals), len(requests))
		}
		late := make([]*shedder.Request, 0, len(requests))
		for _, p := range plan.Places {
			if p.Late {
				late = append(late, p.Request)
			} else if p.StartAt.Add(p.Request.Work).After(inTimeBy(p.Request)) {
				t.Fatalf("%s is placed as in time and is late", p.Request.ID)
			}
		}
		for _, r := range plan.Refusals {
			late = append(late, r.Request)
			if !startOf(plan, r.Request, lanes, true).Add(r.Request.Work).After(r.Request.Deadline) {
				t.Fatalf("%s is refused and could be answered in its place", r.Request.ID)
			}
			if r.ReturnAt.Before(r.StartAt) {
				t.Fatalf("%s is told to return before requests ahead of it have started", r.Request.ID)
			}
		}
		for _, r := range late {
			if !startOf(plan, r, lanes, false).Add(r.Work).After(inTimeBy(r)) {
				t.Fatalf("%s is late and could be in time in its place", r.ID)
			}
		}
	})
}

// TestOrderIsTotal guards against an order that is not transitive, with which the result
// of sorting would depend on the order of arrival.
func TestOrderIsTotal(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		list := drawRequests(t)
		for _, a := range list {
			for _, b := range list {
				if shedder.Compare(now, a, b) != -shedder.Compare(now, b, a) {
					t.Fatalf("%s and %s have no order", a.ID, b.ID)
				}
				for _, c := range list {
					if shedder.Compare(now, a, b) < 0 && shedder.Compare(now, b, c) < 0 && shedder.Compare(now, a, c) >= 0 {
						t.Fatalf("%s, %s and %s are ordered in a circle", a.ID, b.ID, c.ID)
					}
				}
			}
		}
	})
}
