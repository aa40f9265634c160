package dispatcher_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/serving/claimer"
	"gentianstep.example/gentianstep/internal/serving/dispatcher"
	"gentianstep.example/gentianstep/internal/standin/disrupter"
	"gentianstep.example/gentianstep/internal/standin/keeper"
	"gentianstep.example/gentianstep/internal/standin/recorder"
	"gentianstep.example/gentianstep/internal/testing/piper"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// longPause exceeds the time within which the holder of a claim must start to send.
const longPause = 10 * time.Second

// pausedStore pauses its caller after each write has taken effect.
type pausedStore struct {
	storer.Store
}

func (s pausedStore) Put(ctx context.Context, key string, value []byte, opts storer.PutOptions) (storer.Version, error) {
	version, err := s.Store.Put(context.WithoutCancel(ctx), key, value, opts)
	time.Sleep(longPause)
	return version, err
}

// faultyStore randomly drops, delays or fails writes, before or after they take
// effect.
type faultyStore struct {
	storer.Store
	mu     sync.Mutex
	random *rand.Rand
}

var errNoAnswer = errors.New("platform: no answer")

func (s *faultyStore) Put(ctx context.Context, key string, value []byte, opts storer.PutOptions) (storer.Version, error) {
	s.mu.Lock()
	n := s.random.IntN(10)
	s.mu.Unlock()
	switch n {
	case 0:
		return storer.Version{}, errNoAnswer
	case 1, 2:
		_, _ = s.Store.Put(ctx, key, value, opts)
		return storer.Version{}, errNoAnswer
	case 3:
		_, _ = s.Store.Put(ctx, key, value, opts)
		<-ctx.Done()
		return storer.Version{}, ctx.Err()
	case 4:
		time.AfterFunc(longPause, func() { _, _ = s.Store.Put(context.Background(), key, value, opts) })
		return storer.Version{}, errNoAnswer
	}
	return s.Store.Put(ctx, key, value, opts)
}

func newRouter(net *piper.Network, store storer.Store) *dispatcher.Dispatcher {
	return dispatcher.New(dispatcher.Config{
		Caller:  caller.New(caller.Config{Dial: net.Dial}),
		Chooser: newOrderedChooser(1),
		Log:     discardLog(),
		Claims:  claimer.New(claimer.Config{Store: store, Log: discardLog()}),
	})
}

func TestPausedRouterDoesNotSendAfterClaimExpires(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net, ledger, store := piper.New(), recorder.New("up-0"), keeper.New()
		net.Serve(addressOf(0).String(), ledger)
		defer synctest.Wait()
		defer net.Close()
		job := newServiceJob("POST", "/orders", "order-1", "{}")
		pausedErr := make(chan error, 1)
		paused := newRouter(net, pausedStore{store})
		go func() {
			_, err := paused.Call(t.Context(), job)
			pausedErr <- err
		}()
		synctest.Wait() // the claim is stored and its router is paused
		_, err := newRouter(net, store).Call(t.Context(), job)
		is.Equal(classifier.KindOf(err), classifier.AlreadyClaimed) // no other router takes over the claim
		is.Equal(classifier.KindOf(<-pausedErr), classifier.DeadlineUnmeetable)
		is.Equal(len(ledger.Ledger()), 0) // the call was reported as not run and did not run
	})
}

func TestClaimOfStoppedRouterIsNotTakenOver(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net, ledger, store := piper.New(), recorder.New("up-0"), keeper.New()
		net.Serve(addressOf(0).String(), ledger)
		defer synctest.Wait()
		defer net.Close()
		job := newServiceJob("POST", "/orders", "order-1", "{}")
		digest := claimer.NewDigest(job.Service.Name, job.Method, job.Path, job.ContentType, job.Body)
		_, err := claimer.New(claimer.Config{Store: store, Log: discardLog()}).Claim(t.Context(), job.Organisation.Name, "order-1", digest)
		is.NoErr(err) // the router stops here, after the claim and before the call is sent
		for range 5 {
			time.Sleep(time.Hour)
			_, err = newRouter(net, store).Call(t.Context(), job)
			is.Equal(classifier.KindOf(err), classifier.AlreadyClaimed) // the claim of the stopped router is not taken over
		}
		is.Equal(len(ledger.Ledger()), 0) // the call never ran
	})
}

func TestIdempotencyKeyRunsOnceAcrossRouters(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runConcurrentRouters(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

func runConcurrentRouters(t *testing.T, random *rand.Rand) {
	is := is.New(t)
	net, ledger, store := piper.New(), recorder.New("up-0"), keeper.New()
	d := disrupter.New(ledger)
	is.NoErr(d.Inject(randomFaults(random, 40)...))
	net.Serve(addressOf(0).String(), d)
	defer synctest.Wait()
	defer net.Close()
	routers := make([]*dispatcher.Dispatcher, 0, 3)
	for range 3 {
		seeded := rand.New(rand.NewPCG(random.Uint64(), 2))
		routers = append(routers, newRouter(net, &faultyStore{Store: store, random: seeded}))
	}
	refused := &refusals{}
	var group sync.WaitGroup
	for key := range 10 {
		for arrival := range 6 {
			router := routers[random.IntN(len(routers))]
			wait := time.Duration(random.IntN(20)) * time.Second
			group.Go(func() {
				time.Sleep(wait)
				job := newServiceJob("POST", "/orders", fmt.Sprintf("order-%d", key), "{}")
				job.ID = fmt.Sprintf("request-%d-%d", key, arrival)
				_, err := router.Call(t.Context(), job)
				refused.record(job.ID, err)
			})
		}
	}
	group.Wait()
	runs := make(map[string]int)
	for _, entry := range ledger.Ledger() {
		runs[entry.IdempotencyKey]++
		is.Equal(runs[entry.IdempotencyKey], 1) // each key runs at most once
		is.True(!refused.has(entry.RequestID))  // no request that was reported as not run has run
	}
	is.True(len(runs) > 0) // the faults let some calls run
}

// refusals collects the IDs of requests whose error states that they did not run.
type refusals struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (r *refusals) record(id string, err error) {
	if err == nil || !classifier.AnswerOf(classifier.KindOf(err)).NotRun {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ids == nil {
		r.ids = make(map[string]bool)
	}
	r.ids[id] = true
}

func (r *refusals) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ids[id]
}

// randomFaults returns n random faults, each of which applies to one request.
func randomFaults(random *rand.Rand, n int) []disrupter.Fault {
	choices := []disrupter.Fault{
		{Place: disrupter.BeforeRun, Kind: disrupter.Reset},
		{Place: disrupter.BeforeRun, Kind: disrupter.Refuse},
		{Place: disrupter.AfterRun, Kind: disrupter.Reset},
		{Place: disrupter.AfterRun, Kind: disrupter.Silent},
		{Place: disrupter.BeforeHead, Kind: disrupter.Crossed},
		{Place: disrupter.AtEvent, Kind: disrupter.Close, Event: 1},
	}
	faults := make([]disrupter.Fault, 0, n)
	for range n {
		f := choices[random.IntN(len(choices))]
		f.Times = 1
		faults = append(faults, f)
	}
	return faults
}
