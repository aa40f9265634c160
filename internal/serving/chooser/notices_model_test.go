//go:build !race

// The race detector of Go 1.26 itself fails at times after so many goroutines
// ("ThreadSanitizer: CHECK failed: tsan_rtl.cpp:282"), so that scripts/unit.sh runs this
// file without it.

package chooser_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

const (
	noticeEngines = 3
	// noticeMillis is the time over which the steps are spread.
	noticeMillis = 8000
)

type noticeAction struct {
	at   int
	step noticeStep
}

func drawNoticeActions(r *rapid.T) []noticeAction {
	action := rapid.Custom(func(r *rapid.T) noticeAction {
		a := noticeAction{at: rapid.IntRange(0, noticeMillis).Draw(r, "at")}
		a.step.Engine = rapid.IntRange(1, noticeEngines).Draw(r, "engine")
		switch rapid.SampledFrom([]string{"requests", "requests", "calls", "calls", "poll", "report", "order", "read", "leave", "refuse", "refuse", "restart", "dial"}).Draw(r, "kind") {
		case "requests":
			a.step.Requests = rapid.IntRange(1, 6).Draw(r, "requests")
		case "calls":
			a.step.Calls = rapid.IntRange(1, 6).Draw(r, "calls")
		case "poll":
			a.step.Report = true
		case "report":
			a.step.Reported = true
		case "order":
			a.step.Order = true
		case "read":
			a.step.Read = true
		case "leave":
			a.step.Leave = true
		case "refuse":
			a.step.RetryAfter = rapid.SliceOfN(rapid.SampledFrom([]string{"0.3", "0.8", "3", "60", "-1"}), 1, 3).Draw(r, "retryAfter")
		case "restart":
			a.step.Incarnation = uint64(a.at) + 2
		case "dial":
			a.step.DialMS = new(rapid.SampledFrom([]int{0, 30, 700}).Draw(r, "dial"))
		}
		return a
	})
	actions := rapid.SliceOfN(action, 1, 20).Draw(r, "actions")
	slices.SortStableFunc(actions, func(a, b noticeAction) int { return a.at - b.at })
	return actions
}

// TestNoRequestsAfterNotices runs random schedules of requests, control calls, notices
// and restarts. Whatever the path of a request, an upstream that leaves gets no new
// work, and one in a hold-off at most two requests.
func TestNoRequestsAfterNotices(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		actions := drawNoticeActions(r)
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			f := newNoticeFixture(t, noticeEngines)
			f.work = 20 * time.Millisecond
			began := time.Now()
			for n, a := range actions {
				time.Sleep(time.Until(began.Add(time.Duration(a.at) * time.Millisecond)))
				f.runAction(n, a.step)
			}
			f.background.Wait()
			time.Sleep(time.Second) // connections that nobody waits for are still opening
			violations = f.violations()
		})
		if len(violations) > 0 {
			r.Fatalf("%s", strings.Join(violations, "\n"))
		}
	})
}

// runAction applies a step. Requests and control calls go on beside later steps.
func (f *noticeFixture) runAction(n int, s noticeStep) {
	if s.Report || s.Reported || s.Order || s.Read {
		f.background.Go(func() { f.change(s) })
		return
	}
	f.change(s)
	for i := range s.Requests + s.Calls {
		f.background.Go(func() { _ = f.send(fmt.Sprint(n, "-", i), i < s.Requests) }) // any outcome
	}
}
