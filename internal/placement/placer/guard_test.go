package placer_test

import (
	"context"
	"net/netip"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/placement/leaser"
	"gentianstep.example/gentianstep/internal/placement/orderer"
	"gentianstep.example/gentianstep/internal/placement/placer"
	"gentianstep.example/gentianstep/internal/placement/planner"
)

// fakeLeaseSender is a lease holder and an order sender that a test controls.
type fakeLeaseSender struct {
	mu      sync.Mutex
	lease   leaser.Lease
	expired bool
	sent    []orderer.Message
	onSend  func()
}

func (s *fakeLeaseSender) Holding(now time.Time) (leaser.Lease, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease, !s.expired && s.lease.Valid(now)
}

func (s *fakeLeaseSender) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expired = true
}

func (s *fakeLeaseSender) Send(_ context.Context, _ netip.AddrPort, m orderer.Message) (planner.Outcome, error) {
	s.mu.Lock()
	s.sent = append(s.sent, m)
	s.mu.Unlock()
	if s.onSend != nil {
		s.onSend()
	}
	return planner.Accepted, nil
}

func (s *fakeLeaseSender) messages() []orderer.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// runPlacer runs a placer against engines without models and then calls verify.
func runPlacer(t *testing.T, r row, prepare func(*testRegion, *fakeLeaseSender), verify func(*is.I, *testRegion, *fakeLeaseSender)) {
	t.Helper()
	document, err := os.ReadFile("../../bundle/checker/testdata/bundle.json")
	is.New(t).NoErr(err)
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		tr := newTestRegion(t, r, document)
		defer tr.pipe.Stop()
		s := &fakeLeaseSender{lease: leaser.Lease{Fencing: 7, Deadline: time.Now().Add(time.Hour)}}
		prepare(tr, s)
		p := placer.New(placer.Config{Region: region, Node: "vm-0", Bundles: tr.bundles, Lease: s, Orders: s, Log: tr.log})
		go (&reportFeed{region: tr, placer: p}).run(ctx)
		synctest.Wait()
		go p.Run(ctx)
		synctest.Wait()
		verify(is.New(t), tr, s)
	})
}

// TestLeaseIsCheckedBeforeEachOrder ends the lease when the first order of a
// plan is sent. The remaining orders must not be sent.
func TestLeaseIsCheckedBeforeEachOrder(t *testing.T) {
	t.Parallel()
	runPlacer(t, row{Engines: 4, ChecksFencing: true}, func(_ *testRegion, s *fakeLeaseSender) {
		s.onSend = s.expire
	}, func(is *is.I, _ *testRegion, s *fakeLeaseSender) {
		is.Equal(len(s.messages()), 1) // the plan had two orders
	})
}

// TestOrdersOfAnOlderBundleAreNotSent publishes a bundle when the first order
// of a plan is sent. The remaining orders follow the old bundle and must not be
// sent.
func TestOrdersOfAnOlderBundleAreNotSent(t *testing.T) {
	t.Parallel()
	runPlacer(t, row{Engines: 4, ChecksFencing: true}, func(tr *testRegion, s *fakeLeaseSender) {
		s.onSend = func() {
			if tr.wanted == "w1" {
				tr.publish("w2", "w1")
			}
		}
	}, func(is *is.I, _ *testRegion, s *fakeLeaseSender) {
		is.Equal(len(s.messages()), 1)
		is.Equal(s.messages()[0].WeightsVersion, "w1")
	})
}

// TestOrderExpiresWithLease checks that an order expires no later than the
// lease, also where the order timeout is longer.
func TestOrderExpiresWithLease(t *testing.T) {
	t.Parallel()
	runPlacer(t, row{Engines: 1, ChecksFencing: true}, func(_ *testRegion, s *fakeLeaseSender) {
		s.lease.Deadline = time.Now().Add(2 * time.Second)
	}, func(is *is.I, _ *testRegion, s *fakeLeaseSender) {
		is.True(s.messages()[0].Deadline.Equal(s.lease.Deadline))
		is.Equal(s.messages()[0].FencingNumber, uint64(7))
	})
}

// TestNonFencingUpstreamWaitsForPriorOrdersToExpire guards against two holders
// giving orders to the same engine: an engine that does not check fencing
// numbers would also carry out a delayed order of the previous holder.
func TestNonFencingUpstreamWaitsForPriorOrdersToExpire(t *testing.T) {
	t.Parallel()
	runPlacer(t, row{Engines: 1}, func(_ *testRegion, s *fakeLeaseSender) {
		s.lease.PriorOrdersExpireAt = time.Now().Add(15 * time.Second)
	}, func(is *is.I, _ *testRegion, s *fakeLeaseSender) {
		time.Sleep(14 * time.Second)
		is.Equal(len(s.messages()), 0)
		time.Sleep(2 * time.Second)
		is.True(len(s.messages()) > 0)
	})
}
