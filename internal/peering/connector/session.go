package connector

import (
	"context"
	"time"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/peering/messenger"
)

const (
	headInterval = time.Second
	// silenceTimeout ends a connection on which nothing arrives any more.
	silenceTimeout = 5 * time.Second
	// outgoingLimit bounds the messages that wait for one connection.
	outgoingLimit = 256
)

// session is one connection to a controller.
type session struct {
	cfg  Config
	conn *messenger.Conn
	peer messenger.Hello
	out  chan messenger.Message
}

func newSession(cfg Config, conn *messenger.Conn, peer messenger.Hello) *session {
	return &session{cfg: cfg, conn: conn, peer: peer, out: make(chan messenger.Message, outgoingLimit)}
}

func (s *session) send(m messenger.Message) bool {
	select {
	case s.out <- m:
		return true
	default:
		return false
	}
}

// run reads until the connection fails or goes silent.
func (s *session) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go (&writer{session: s}).run(ctx)
	for {
		m, err := s.read(ctx)
		if err != nil {
			return err
		}
		s.handle(m)
	}
}

func (s *session) read(ctx context.Context) (messenger.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, silenceTimeout)
	defer cancel()
	return s.conn.Read(ctx)
}

func (s *session) handle(m messenger.Message) {
	switch {
	case m.BundleOffer != nil:
		s.accept(m.BundleOffer)
	case m.BundleHead != nil && m.BundleHead.Version > s.cfg.Holder.Version():
		s.send(messenger.Message{BundleWant: &messenger.BundleWant{}})
	case m.BundleHead != nil:
	case m.BundleWant != nil:
		s.offer()
	default:
		s.cfg.OnMessage(m)
	}
}

func (s *session) accept(offer *messenger.BundleOffer) {
	err := s.cfg.Holder.Offer(time.Now(), offer.Envelope)
	if err != nil && !classifier.IsKind(err, classifier.BundleStale) {
		s.cfg.Log.WithError(err).WithField("kind", classifier.KindOf(err)).Warn("bundle refused")
	}
}

func (s *session) offer() {
	current := s.cfg.Holder.Current()
	if current == nil {
		return
	}
	s.send(messenger.Message{BundleOffer: &messenger.BundleOffer{Envelope: current.Envelope}})
}

// head returns the version in force here and since when.
func (s *session) head() messenger.BundleHead {
	current := s.cfg.Holder.Current()
	if current == nil {
		return messenger.BundleHead{}
	}
	return messenger.BundleHead{Version: current.Bundle.Version, Since: current.Since}
}

// writer sends the queued messages of a session and repeats the bundle version
// in force, so that each end learns of a higher one even where an offer was
// dropped.
type writer struct {
	session *session
}

func (w *writer) run(ctx context.Context) {
	ticker := time.NewTicker(headInterval)
	defer ticker.Stop()
	for {
		m, ok := w.next(ctx, ticker.C)
		if !ok {
			return
		}
		if w.session.conn.Write(ctx, m) != nil {
			w.session.conn.Close()
			return
		}
	}
}

// next waits for a message to send; the last result is false at the end.
func (w *writer) next(ctx context.Context, tick <-chan time.Time) (messenger.Message, bool) {
	select {
	case m := <-w.session.out:
		return m, true
	case <-tick:
		head := w.session.head()
		return messenger.Message{BundleHead: &head}, true
	case <-ctx.Done():
		return messenger.Message{}, false
	}
}
