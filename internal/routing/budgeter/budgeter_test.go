package budgeter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentianstep.example/gentianstep/internal/routing/budgeter"
)

// arrival is a request or a retry.
type arrival struct {
	at    time.Time
	retry bool
}

// TestFleetStaysWithinBudget simulates VMs that receive uneven shares of the
// traffic and retry whenever allowed. It checks the total number of retries of
// all VMs in each sliding window.
func TestFleetStaysWithinBudget(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		cfg := budgeter.Config{
			Ratio:  rapid.SampledFrom([]float64{0, 0.1, 0.2, 0.5}).Draw(t, "ratio"),
			Extra:  rapid.IntRange(0, 80).Draw(t, "extra"),
			Window: 10 * time.Second,
		}
		n := rapid.IntRange(1, 9).Draw(t, "vms")
		vms := make([]*budgeter.Budgeter, n)
		for i := range vms {
			vms[i] = budgeter.New(cfg)
			vms[i].SetVMs(n)
		}
		now := time.Unix(1_700_000_000, 0)
		var arrivals []arrival
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 10, 50, 300, 2000}).Draw(t, "ms")) * time.Millisecond)
			vm := vms[rapid.IntRange(0, n-1).Draw(t, "vm")]
			for range rapid.IntRange(0, 10).Draw(t, "requests") {
				vm.RecordRequest(now, "s")
				arrivals = append(arrivals, arrival{now, false})
			}
			for range rapid.IntRange(0, 20).Draw(t, "repeats") {
				if vm.AllowRetry(now, "s") {
					arrivals = append(arrivals, arrival{now, true})
				}
			}
		}
		checkWindows(t, cfg, arrivals)
	})
}

// checkWindows checks the retries in the window that ends at each retry against
// the budget. The budget is based on the highest request count of this window
// and of the windows that end half a window and a full window earlier.
func checkWindows(t *rapid.T, cfg budgeter.Config, arrivals []arrival) {
	count := func(from, to time.Time, retry bool) int {
		total := 0
		for _, a := range arrivals {
			if a.retry == retry && a.at.After(from) && !a.at.After(to) {
				total++
			}
		}
		return total
	}
	for _, a := range arrivals {
		if !a.retry {
			continue
		}
		retries := count(a.at.Add(-cfg.Window), a.at, true)
		requests := 0
		for _, offset := range []time.Duration{0, cfg.Window / 2, cfg.Window} {
			requests = max(requests, count(a.at.Add(-cfg.Window-offset), a.at.Add(-offset), false))
		}
		if float64(retries) > cfg.Ratio*float64(requests)+float64(cfg.Extra) {
			t.Fatalf("%d retries for %d requests, over the budget", retries, requests)
		}
	}
}

func TestBudgetIsPerService(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := budgeter.New(budgeter.Config{Extra: 10, Window: 10 * time.Second})
	now := time.Unix(1_700_000_000, 0)
	for b.AllowRetry(now, "a") {
	}
	is.True(b.AllowRetry(now, "b"))
	is.True(!b.AllowRetry(now.Add(5*time.Second), "a"))
	is.True(b.AllowRetry(now.Add(11*time.Second), "a"))
}

func TestSetConfigTakesEffectImmediately(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	cfg := budgeter.Config{Extra: 10, Window: 10 * time.Second}
	b := budgeter.New(cfg)
	now := time.Unix(1_700_000_000, 0)
	is.True(b.AllowRetry(now, "a"))
	cfg.Extra = 0
	b.SetConfig(cfg)
	is.True(!b.AllowRetry(now, "a"))
}
