// Package subscriber keeps one connection to a controller and hands on what
// arrives from it.
package subscriber

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/holder"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/peering/messenger"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

const (
	dialTimeout  = 2 * time.Second
	firstRetry   = 100 * time.Millisecond
	lastRetry    = 3 * time.Second
	headInterval = time.Second
	// silenceTimeout ends a connection on which nothing arrives any more.
	silenceTimeout = 5 * time.Second
)

// Config holds what a Subscriber is built from.
type Config struct {
	Hello messenger.Hello
	// Addresses are tried in order, the first one again after every failure.
	Addresses []netip.AddrPort
	Holder    *holder.Holder
	// OnReports takes engine reports; it must not block.
	OnReports func([]observer.Report)
	Client    *http.Client
	Log       *logrus.Entry
}

// Subscriber keeps one connection to the first controller that answers.
type Subscriber struct {
	cfg Config
}

// New returns a Subscriber.
func New(cfg Config) *Subscriber {
	return &Subscriber{cfg: cfg}
}

// Run connects again after every failure until ctx ends.
func (s *Subscriber) Run(ctx context.Context) {
	wait := firstRetry
	for ctx.Err() == nil {
		for _, address := range s.cfg.Addresses {
			if s.session(ctx, address) {
				wait = firstRetry
				break
			}
		}
		jittered := wait/2 + rand.N(wait/2)
		select {
		case <-time.After(jittered):
		case <-ctx.Done():
		}
		wait = min(2*wait, lastRetry)
	}
}

// session reports whether a connection was made; it returns when it ends.
func (s *Subscriber) session(ctx context.Context, address netip.AddrPort) bool {
	conn, err := s.connect(ctx, address)
	if err != nil {
		s.cfg.Log.WithError(err).WithField("controller", address).Debug("controller not reached")
		return false
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.cfg.Log.WithField("controller", address).Info("controller connected")
	go s.runHeads(ctx, conn)
	err = s.read(ctx, conn)
	s.cfg.Log.WithError(err).WithField("controller", address).Info("controller connection ended")
	return true
}

func (s *Subscriber) connect(ctx context.Context, address netip.AddrPort) (*messenger.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := messenger.Dial(ctx, s.cfg.Client, "http://"+address.String())
	if err != nil {
		return nil, err
	}
	hello := s.cfg.Hello
	hello.BundleVersion = s.cfg.Holder.Version()
	if err := conn.Write(ctx, messenger.Message{Hello: &hello}); err != nil {
		conn.Close()
		return nil, err
	}
	answer, err := conn.Read(ctx)
	if err != nil {
		conn.Close()
		return nil, err
	}
	if answer.Hello == nil || answer.Hello.Deployment != hello.Deployment {
		conn.Close()
		return nil, classifier.New(classifier.PeerRefused, "controller of another deployment")
	}
	return conn, nil
}

// runHeads repeats the version in force, so that each end learns of a higher
// one even where an offer was dropped.
func (s *Subscriber) runHeads(ctx context.Context, conn *messenger.Conn) {
	ticker := time.NewTicker(headInterval)
	defer ticker.Stop()
	for {
		head := messenger.BundleHead{Version: s.cfg.Holder.Version()}
		if conn.Write(ctx, messenger.Message{BundleHead: &head}) != nil {
			conn.Close()
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Subscriber) read(ctx context.Context, conn *messenger.Conn) error {
	for {
		m, err := s.readOne(ctx, conn)
		if err != nil {
			return err
		}
		if err := s.handle(ctx, conn, m); err != nil {
			return err
		}
	}
}

func (s *Subscriber) readOne(ctx context.Context, conn *messenger.Conn) (messenger.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, silenceTimeout)
	defer cancel()
	return conn.Read(ctx)
}

func (s *Subscriber) handle(ctx context.Context, conn *messenger.Conn, m messenger.Message) error {
	switch {
	case m.BundleOffer != nil:
		err := s.cfg.Holder.Offer(time.Now(), m.BundleOffer.Envelope)
		if err != nil && !classifier.IsKind(err, classifier.BundleStale) {
			s.cfg.Log.WithError(err).WithField("kind", classifier.KindOf(err)).Warn("bundle refused")
		}
	case m.BundleWant != nil && s.cfg.Holder.Version() > 0:
		offer := messenger.BundleOffer{Envelope: s.cfg.Holder.Current().Envelope}
		return conn.Write(ctx, messenger.Message{BundleOffer: &offer})
	case m.Reports != nil && s.cfg.OnReports != nil:
		s.cfg.OnReports(m.Reports.Reports)
	}
	return nil
}
