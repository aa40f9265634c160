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

// script is a lease and a sender that a test steers.
type script struct {
	mu      sync.Mutex
	holding leaser.Holding
	ended   bool
	sent    []orderer.Message
	onSend  func()
}

func (s *script) Holding(now time.Time) (leaser.Holding, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holding, !s.ended && s.holding.Valid(now)
}

func (s *script) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
}

func (s *script) Send(_ context.Context, _ netip.AddrPort, m orderer.Message) (planner.Outcome, error) {
	s.mu.Lock()
	s.sent = append(s.sent, m)
	s.mu.Unlock()
	if s.onSend != nil {
		s.onSend()
	}
	return planner.Accepted, nil
}

func (s *script) messages() []orderer.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// guard runs a placer over empty engines for a time.
func guard(t *testing.T, r row, prepare func(*bench, *script), then func(*is.I, *bench, *script)) {
	t.Helper()
	document, err := os.ReadFile("../../bundle/checker/testdata/bundle.json")
	is.New(t).NoErr(err)
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		b := newBench(t, r, document)
		defer b.pipe.Stop()
		s := &script{holding: leaser.Holding{Fencing: 7, Deadline: time.Now().Add(time.Hour)}}
		prepare(b, s)
		p := placer.New(placer.Config{Region: region, Node: "vm-0", Bundles: b.bundles, Lease: s, Orders: s, Log: b.log})
		go (&feed{bench: b, placer: p}).run(ctx)
		synctest.Wait()
		go p.Run(ctx)
		synctest.Wait()
		then(is.New(t), b, s)
	})
}

func TestLeaseIsCheckedBeforeEachOrder(t *testing.T) {
	t.Parallel()
	guard(t, row{Engines: 4, ChecksFencing: true}, func(_ *bench, s *script) {
		s.onSend = s.end
	}, func(is *is.I, _ *bench, s *script) {
		is.Equal(len(s.messages()), 1) // the plan had two orders
	})
}

func TestOrdersOfAnOlderBundleAreNotSent(t *testing.T) {
	t.Parallel()
	guard(t, row{Engines: 4, ChecksFencing: true}, func(b *bench, s *script) {
		s.onSend = func() {
			if b.wanted == "w1" {
				b.publish("w2", "w1")
			}
		}
	}, func(is *is.I, _ *bench, s *script) {
		is.Equal(len(s.messages()), 1)
		is.Equal(s.messages()[0].WeightsVersion, "w1")
	})
}

func TestOrderEndsWithTheLease(t *testing.T) {
	t.Parallel()
	guard(t, row{Engines: 1, ChecksFencing: true}, func(_ *bench, s *script) {
		s.holding.Deadline = time.Now().Add(2 * time.Second)
	}, func(is *is.I, _ *bench, s *script) {
		is.True(s.messages()[0].Deadline.Equal(s.holding.Deadline))
		is.Equal(s.messages()[0].FencingNumber, uint64(7))
	})
}

func TestUpstreamThatIgnoresFencingWaitsForOldOrdersToEnd(t *testing.T) {
	t.Parallel()
	guard(t, row{Engines: 1}, func(_ *bench, s *script) {
		s.holding.UncheckedAfter = time.Now().Add(15 * time.Second)
	}, func(is *is.I, _ *bench, s *script) {
		time.Sleep(14 * time.Second)
		is.Equal(len(s.messages()), 0)
		time.Sleep(2 * time.Second)
		is.True(len(s.messages()) > 0)
	})
}
