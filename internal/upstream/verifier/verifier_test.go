package verifier_test

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/routing/withholder"
	"gentianstep.example/gentianstep/internal/upstream/noticer"
	"gentianstep.example/gentianstep/internal/upstream/verifier"
)

var errSilent = errors.New("upstream is silent")

// upstreams implements verifier.Directory and verifier.Checker.
type upstreams struct {
	list []*registrar.Upstream

	mu     sync.Mutex
	answer bool
	checks map[string]int
}

// Upstreams implements verifier.Directory.
func (s *upstreams) Upstreams() []*registrar.Upstream { return s.list }

// Check implements verifier.Checker.
func (s *upstreams) Check(_ context.Context, u *registrar.Upstream) (withholder.Notice, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checks[u.ID]++
	if !s.answer {
		return withholder.Notice{}, errSilent
	}
	return withholder.Notice{Instance: u.ID, SentAt: time.Now()}, nil
}

func (s *upstreams) count(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checks[id]
}

// TestChecksAreRepeatedLessOften guards against upstreams that are checked without an
// end, or that are never used again since one check got no response.
func TestChecksAreRepeatedLessOften(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := logrus.New()
		log.SetOutput(io.Discard)
		n := noticer.New(noticer.Config{
			Bounds: withholder.Config{Drain: time.Second, MaxHoldOff: time.Minute}, Meter: meter.New(), Log: logrus.NewEntry(log),
		})
		earlier := &registrar.Upstream{ID: "a", Address: netip.MustParseAddrPort("10.0.0.1:80"), StartedAt: time.Now()}
		later, other := *earlier, *earlier
		later.StartedAt = later.StartedAt.Add(time.Second)
		other.ID, other.Address = "b", netip.MustParseAddrPort("10.0.0.2:80")
		s := &upstreams{list: []*registrar.Upstream{&later, &other}, checks: make(map[string]int)}
		v := verifier.New(verifier.Config{Directory: s, Noticer: n, Checker: s, Log: logrus.NewEntry(log)})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go v.Run(ctx)
		time.Sleep(time.Minute)
		is.Equal(s.count("a")+s.count("b"), 0)

		n.Record(earlier, withholder.Notice{Leaving: true})
		time.Sleep(time.Minute)
		got := s.count("a")
		is.True(got >= 4 && got <= 20) // the delay doubles from 0.5 s to 8 s, give or take a half
		is.Equal(s.count("b"), 0)
		is.True(!n.IsOpen(&later))

		s.mu.Lock()
		s.answer = true
		s.mu.Unlock()
		time.Sleep(13 * time.Second) // the longest delay and a look
		is.True(n.IsOpen(&later))
		got = s.count("a")
		time.Sleep(time.Minute)
		is.Equal(s.count("a"), got)
	})
}
