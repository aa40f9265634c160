package retrier

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

type script struct {
	Name  string
	Steps []step
}

type step struct {
	At     checker.Duration
	Do     string
	Up     string
	Result Result
	Sent   checker.Duration
	Want   string
}

type retryRow struct {
	Name       string
	Origin     Origin
	Idempotent bool
	NotRun     bool `json:"not_run"`
	Delivered  bool
	Attempts   int
	Deadline   checker.Duration
	Spent      bool
	Want       Reason
}

var (
	start  = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	names  = []string{"a", "b", "c", "d"}
	policy = checker.AttemptPolicy{MaxAttempts: 3, RetryBudget: 0.1, Cooldown: checker.Duration(2 * time.Second), MaxEjected: 0.5}
)

func readRows[T any](t *testing.T, path string) []T {
	t.Helper()
	var rows []T
	scripter.Read(t, path, &rows)
	return rows
}

func TestHealth(t *testing.T) {
	t.Parallel()
	for _, s := range readRows[script](t, "testdata/scripts.json") {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := New(Config{Policy: policy, Seed: 1})
			for _, step := range s.Steps {
				now := start.Add(step.At.Std())
				got := step.Want
				switch step.Do {
				case "send":
					got = fmt.Sprint(r.Send(now, step.Up, Healthy))
				case "report":
					r.Report(now, step.Up, Outcome{Result: step.Result, SentAt: start.Add(step.Sent.Std())})
				case "health":
					got = string(r.Health(now, step.Up))
				case "healths":
					got = strings.Trim(fmt.Sprint(r.Healths(now, names)), "[]")
				case "bundle":
					r.SetPolicy(policy, names)
				}
				is.Equal(got, step.Want) // answer of the step
			}
		})
	}
}

func TestNext(t *testing.T) {
	t.Parallel()
	for _, row := range readRows[retryRow](t, "testdata/retries.json") {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			now := start.Add(10 * time.Second)
			r := New(Config{Policy: policy})
			request := Request{Attempts: row.Attempts, Idempotent: row.Idempotent}
			if row.Deadline > 0 {
				request.Deadline = start.Add(row.Deadline.Std())
			}
			failure := Failure{Origin: row.Origin, NotRun: row.NotRun, Delivered: row.Delivered}
			if row.Origin == "" {
				failure.Origin = FromUpstream
			}
			if row.Spent {
				r.Next(now, request, failure)
			}
			d := r.Next(now, request, failure)
			is.Equal(d.Reason, row.Want)                            // reason of the decision
			is.Equal(d.Retry, row.Want == Allowed)                  // the decision itself
			is.Equal(d.RetryAt.After(now), row.Want == OutOfBudget) // when to come back
		})
	}
}

// TestBudgetHolds lets every attempt at every upstream fail and counts the
// attempts that are made all the same.
func TestBudgetHolds(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		p := policy
		p.RetryBudget = rapid.Float64Range(0, 0.5).Draw(t, "budget")
		p.MaxAttempts = rapid.IntRange(1, 6).Draw(t, "attempts")
		r := New(Config{Policy: p})
		now := start
		requests, retries := 0, 0
		var forward time.Duration
		for range rapid.IntRange(1, 600).Draw(t, "requests") {
			passed := time.Duration(rapid.IntRange(-20, 200).Draw(t, "step")) * time.Millisecond
			now = now.Add(passed)
			forward += max(passed, 0)
			requests++
			r.Start(now)
			for attempts := 1; r.Next(now, Request{Attempts: attempts, Idempotent: true}, Failure{Origin: FromUpstream}).Retry; attempts++ {
				retries++
			}
		}
		most := p.RetryBudget*float64(requests) + floorPerSecond*forward.Seconds() + 1
		if float64(retries) > most+1e-6 {
			t.Fatalf("%d retries of %d requests, at most %.1f", retries, requests, most)
		}
	})
}

// TestOneProbe lets many requests look at a cooled upstream at once.
func TestOneProbe(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		r := New(Config{Policy: policy, Seed: rapid.Uint64().Draw(t, "seed")})
		now := start
		inFlight := 0
		var sentAt time.Time
		r.Report(now, "a", Outcome{Result: Failed, SentAt: now})
		for range rapid.IntRange(1, 100).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "step")) * time.Millisecond)
			if inFlight > 0 && now.Sub(sentAt) >= policy.Cooldown.Std() {
				inFlight = 0
			}
			known := r.Healths(now, names)[0]
			if known.Usable() && r.Send(now, "a", known) {
				inFlight++
				sentAt = now
			}
			if inFlight > 1 {
				t.Fatalf("%d probes at once", inFlight)
			}
			if inFlight == 1 && rapid.Bool().Draw(t, "answer") {
				r.Report(now, "a", Outcome{Result: Failed, SentAt: sentAt})
				inFlight = 0
			}
		}
	})
}
