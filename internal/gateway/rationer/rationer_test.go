package rationer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/gateway/rationer"
	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/operating/pauser"
	"gentianstep.example/gentianstep/internal/routing/matcher"
	"gentianstep.example/gentianstep/internal/routing/throttler"
)

// fixture is a VM of ten in front of an organisation with 1,000 tokens a second.
type fixture struct {
	*rationer.Rationer
	limited, free matcher.Organisation
	demands       int
	deadline      time.Time
}

func newFixture() *fixture {
	f := &fixture{
		limited:  matcher.Organisation{Name: "limited", Quota: matcher.Quota{PerSecond: 1000, Burst: 1000, Tokens: true, PlainTokens: 200}},
		free:     matcher.Organisation{Name: "free"},
		deadline: time.Now().Add(10 * time.Second),
	}
	c := &matcher.Configuration{Version: 1, Organisations: []matcher.Organisation{f.limited, f.free}}
	f.Rationer = rationer.New(rationer.Config{
		Configuration: func() *matcher.Configuration { return c },
		OnDemand:      func() { f.demands++ },
		Meter:         meter.New(),
	})
	f.SetFleet(throttler.NewUnnamedFleet("vm", 10))
	return f
}

func (f *fixture) admit(ctx context.Context, o *matcher.Organisation, tokens float64, priority int) (*rationer.Charge, *classifier.Error) {
	return f.Admit(ctx, rationer.Request{Organisation: o, Tokens: tokens, Priority: priority, ArrivedAt: time.Now(), Deadline: f.deadline})
}

// answer applies a message of the hub to a report that was sent now.
func (f *fixture) answer(state throttler.QuotaState, amounts ...float64) {
	state.Organisation = f.limited.Name
	grants := make([]throttler.QuotaGrant, 0, len(amounts))
	for _, amount := range amounts {
		grants = append(grants, throttler.QuotaGrant{Organisation: f.limited.Name, Amount: amount})
	}
	f.ApplyQuotas([]throttler.QuotaState{state}, grants, time.Now())
}

// TestQuotaUsedUp guards against requests over the quota that wait or run, and against
// organisations without a quota that are limited.
func TestQuotaUsedUp(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture()
		f.QuotaReports()
		f.answer(throttler.QuotaState{Room: 2 * time.Second}, 500)
		charge, err := f.admit(t.Context(), &f.limited, 400, 1)
		is.True(err == nil)
		charge.Release(true)
		began := time.Now()
		_, err = f.admit(t.Context(), &f.limited, 400, 1)
		is.Equal(err.Kind, classifier.RateLimited)
		is.Equal(time.Since(began), time.Duration(0)) // known at arrival
		is.True(!err.RetryAt.Before(began.Add(2 * time.Second)))
		is.True(!err.Final)
		for range 100 {
			_, err := f.admit(t.Context(), &f.free, 1e9, 1)
			is.True(err == nil)
		}
		is.Equal(f.demands, 0)
	})
}

// TestQuotaReturns guards against a wave of refused clients that return at the same time,
// and against a time to return after their deadline.
func TestQuotaReturns(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture()
		f.QuotaReports()
		f.answer(throttler.QuotaState{Room: time.Second})
		began, seen, final := time.Now(), make(map[time.Time]bool), 0
		for range 30 {
			_, err := f.admit(t.Context(), &f.limited, 400, 1)
			is.Equal(err.Kind, classifier.RateLimited)
			if err.Final {
				final++
				continue
			}
			is.True(err.RetryAt.Before(f.deadline))
			seen[err.RetryAt] = true
		}
		// The VM's share is one such request in 4 s: the first return is drawn from 1 to 5 s,
		// the second follows 4 s later, and a third does only after a first one before 2 s.
		is.True(final >= 27)
		is.Equal(len(seen)+final, 30)
		for at := range seen {
			is.True(!at.Before(began.Add(time.Second)))
		}
	})
}

// TestQuotaReturnsSpread guards against clients that were refused over a time and return
// together when the quota has room.
func TestQuotaReturnsSpread(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture()
		f.QuotaReports()
		f.answer(throttler.QuotaState{Room: 2 * time.Second})
		seen := make(map[time.Time]bool)
		for range 20 {
			_, err := f.admit(t.Context(), &f.limited, 10, 1)
			is.True(!err.Final)
			seen[err.RetryAt] = true
		}
		is.Equal(len(seen), 20)
	})
}

// TestWaitForQuota guards against requests within the quota that are refused, and against
// less urgent requests that get the credit first.
func TestWaitForQuota(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture()
		f.QuotaReports()
		f.answer(throttler.QuotaState{})
		results := make(chan int, 4)
		for _, priority := range []int{2, 2, 0, 1} {
			go func() {
				_, err := f.admit(t.Context(), &f.limited, 400, priority)
				if err != nil {
					priority = -1
				}
				results <- priority
			}()
			synctest.Wait()
		}
		gone, leave := context.WithCancel(t.Context())
		go func() {
			_, err := f.admit(gone, &f.limited, 400, 0)
			is.Equal(err.Kind, classifier.CallerGone)
		}()
		synctest.Wait()
		leave()
		synctest.Wait()
		list, _ := f.QuotaReports()
		is.Equal(list, []throttler.QuotaReport{{Organisation: "limited", First: 400, Wanted: 1600}})
		is.Equal(f.demands, 5)
		for _, priority := range []int{0, 1, 2} {
			f.answer(throttler.QuotaState{}, 400)
			is.Equal(<-results, priority)
		}
		is.Equal(<-results, -1) // refused after its wait
	})
}

// TestQuotaOfRequestNotRun guards against amounts that are lost to an organisation whose
// request no upstream has run.
func TestQuotaOfRequestNotRun(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture()
		f.QuotaReports()
		f.answer(throttler.QuotaState{Room: time.Minute}, 400)
		for range 5 {
			charge, err := f.admit(t.Context(), &f.limited, 400, 1)
			is.True(err == nil)
			charge.Release(false)
		}
		_, err := f.admit(t.Context(), &f.limited, 400, 1)
		is.True(err == nil)
		_, err = f.admit(t.Context(), &f.limited, 0, 1) // counts as 200
		is.True(err != nil)
	})
}

// TestQuotaWithoutHub guards against VMs without a hub that admit nothing, or everything.
func TestQuotaWithoutHub(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture()
		admitted := 0
		for range 200 {
			if _, err := f.admit(t.Context(), &f.limited, 100, 1); err == nil {
				admitted++
			}
			pauser.Pause(t.Context(), 100*time.Millisecond)
		}
		is.True(admitted >= 20) // a tenth of 1,000 tokens a second for 20 s
		is.True(admitted <= 35)
	})
}
