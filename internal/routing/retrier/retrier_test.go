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
	// At and Sent are durations since the start of the script.
	At       checker.Duration
	Action   string
	Upstream string
	Result   Result
	Sent     checker.Duration
	Want     string
}

type retryRow struct {
	Name       string
	Origin     Origin
	Idempotent bool
	NotRun     bool `json:"not_run"`
	Delivered  bool
	Attempts   int
	Deadline   checker.Duration
	// Spent is true if the budget is exhausted by an earlier retry.
	Spent bool
	Want  Reason
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
				switch step.Action {
				case "send":
					got = fmt.Sprint(r.BeginAttempt(now, step.Upstream, Healthy))
				case "report":
					r.RecordOutcome(now, step.Upstream, Outcome{Result: step.Result, SentAt: start.Add(step.Sent.Std())})
				case "health":
					got = string(r.Health(now, step.Upstream))
				case "healths":
					got = strings.Trim(fmt.Sprint(r.CandidateHealth(now, names)), "[]")
				case "bundle":
					r.SetPolicy(policy, names)
				}
				is.Equal(got, step.Want) // result of the step
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
				r.DecideRetry(now, request, failure)
			}
			d := r.DecideRetry(now, request, failure)
			is.Equal(d.Reason, row.Want)                            // reason
			is.Equal(d.Retry, row.Want == Allowed)                  // retry is allowed
			is.Equal(d.RetryAt.After(now), row.Want == OutOfBudget) // RetryAt is set only without budget
		})
	}
}

// TestRetriesStayWithinBudget lets every attempt fail. The number of retries
// must not exceed the budget, also if the clock is set back.
func TestRetriesStayWithinBudget(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		p := policy
		p.RetryBudget = rapid.Float64Range(0, 0.5).Draw(t, "budget")
		p.MaxAttempts = rapid.IntRange(1, 6).Draw(t, "attempts")
		r := New(Config{Policy: p})
		now := start
		requests, retries := 0, 0
		var totalElapsed time.Duration
		for range rapid.IntRange(1, 600).Draw(t, "requests") {
			elapsed := time.Duration(rapid.IntRange(-20, 200).Draw(t, "step")) * time.Millisecond
			now = now.Add(elapsed)
			totalElapsed += max(elapsed, 0)
			requests++
			r.RecordRequest(now)
			for attempts := 1; r.DecideRetry(now, Request{Attempts: attempts, Idempotent: true}, Failure{Origin: FromUpstream}).Retry; attempts++ {
				retries++
			}
		}
		limit := p.RetryBudget*float64(requests) + minRetriesPerSecond*totalElapsed.Seconds() + 1
		if float64(retries) > limit+1e-6 {
			t.Fatalf("got %d retries for %d requests, want at most %.1f", retries, requests, limit)
		}
	})
}

// TestOneProbeAtATime sends concurrent requests to an upstream after its
// cooldown. Only one may be in flight until it has an outcome or expires.
func TestOneProbeAtATime(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		r := New(Config{Policy: policy, Seed: rapid.Uint64().Draw(t, "seed")})
		now := start
		inFlight := 0
		var sentAt time.Time
		r.RecordOutcome(now, "a", Outcome{Result: Failed, SentAt: now})
		for range rapid.IntRange(1, 100).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "step")) * time.Millisecond)
			if inFlight > 0 && now.Sub(sentAt) >= policy.Cooldown.Std() {
				inFlight = 0
			}
			known := r.CandidateHealth(now, names)[0]
			if known.Usable() && r.BeginAttempt(now, "a", known) {
				inFlight++
				sentAt = now
			}
			if inFlight > 1 {
				t.Fatalf("got %d concurrent probes, want at most 1", inFlight)
			}
			if inFlight == 1 && rapid.Bool().Draw(t, "answer") {
				r.RecordOutcome(now, "a", Outcome{Result: Failed, SentAt: sentAt})
				inFlight = 0
			}
		}
	})
}
