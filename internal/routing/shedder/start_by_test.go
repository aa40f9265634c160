package shedder_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/routing/shedder"
)

// TestRequestBeyondStartByIsRefusedAtOnce guards against requests that keep their places
// until they are refused, since they could be in time with a start that comes after that.
//
// Load: short prompts at four times the capacity of engines at which none waits.
func TestRequestBeyondStartByIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	requests := make([]*shedder.Request, 0, 40)
	for n := range cap(requests) {
		requests = append(requests, &shedder.Request{
			ID: strconv.Itoa(n), ArrivedAt: now, StartAt: now,
			StartBy: now.Add(375 * time.Millisecond), DueAt: now.Add(500 * time.Millisecond), Deadline: now.Add(3 * time.Second),
			Work: 60 * time.Millisecond, Hold: 60 * time.Millisecond,
		})
	}
	plan := shedder.Decide(now, requests, shedder.Capacity{Lanes: 4})
	is.Equal(len(plan.Places), 26) // the last one starts after 25 x 60 / 4 = 375 ms
	is.Equal(len(plan.Refusals), 14)
}
