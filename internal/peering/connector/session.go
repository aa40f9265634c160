package connector

import (
	"context"
	"time"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/peering/messenger"
)

const (
	// bundleHeadInterval is the interval at which the bundle version in force is sent.
	bundleHeadInterval = time.Second
	// readTimeout closes a connection on which no message is received.
	readTimeout = 5 * time.Second
	// sendQueueSize bounds the queued messages of one connection.
	sendQueueSize = 256
)

// session is an established connection to a controller.
type session struct {
	cfg  Config
	conn *messenger.Conn
	peer messenger.Hello
	out  chan messenger.Message
}

func newSession(cfg Config, conn *messenger.Conn, peer messenger.Hello) *session {
	return &session{cfg: cfg, conn: conn, peer: peer, out: make(chan messenger.Message, sendQueueSize)}
}

// send queues m and reports whether there was room in the queue.
func (s *session) send(m messenger.Message) bool {
	select {
	case s.out <- m:
		return true
	default:
		return false
	}
}

// run handles messages until reading fails or times out.
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
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return s.conn.Read(ctx)
}

func (s *session) handle(m messenger.Message) {
	switch {
	case m.BundleOffer != nil:
		s.offerBundle(m.BundleOffer)
	case m.BundleHead != nil && m.BundleHead.Version > s.cfg.Holder.Version():
		s.send(messenger.Message{BundleRequest: &messenger.BundleRequest{}})
	case m.BundleHead != nil:
	case m.BundleRequest != nil:
		s.sendBundle()
	default:
		s.cfg.OnMessage(m)
	}
}

// offerBundle offers a received bundle to the Holder. A stale one is normal, since a
// bundle may be offered more than once, and is not logged.
func (s *session) offerBundle(offer *messenger.BundleOffer) {
	err := s.cfg.Holder.Offer(time.Now(), offer.Envelope)
	if err != nil && !classifier.IsKind(err, classifier.BundleStale) {
		s.cfg.Log.WithError(err).WithField("kind", classifier.KindOf(err)).Warn("bundle from controller rejected")
	}
}

// sendBundle sends the bundle in force, if there is one.
func (s *session) sendBundle() {
	current := s.cfg.Holder.Current()
	if current == nil {
		return
	}
	s.send(messenger.Message{BundleOffer: &messenger.BundleOffer{Envelope: current.Envelope}})
}

// bundleHead returns the version of the bundle in force on this process and the time
// since which it is in force.
func (s *session) bundleHead() messenger.BundleHead {
	current := s.cfg.Holder.Current()
	if current == nil {
		return messenger.BundleHead{}
	}
	return messenger.BundleHead{Version: current.Bundle.Version, Since: current.Since}
}

// writer sends the queued messages of a session. It also sends the bundle version in
// force periodically, so that both peers converge on the highest version even if an
// offer was dropped.
type writer struct {
	session *session
}

func (w *writer) run(ctx context.Context) {
	ticker := time.NewTicker(bundleHeadInterval)
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

// next returns the next message to send. The last result is false when ctx is done.
func (w *writer) next(ctx context.Context, tick <-chan time.Time) (messenger.Message, bool) {
	select {
	case m := <-w.session.out:
		return m, true
	case <-tick:
		head := w.session.bundleHead()
		return messenger.Message{BundleHead: &head}, true
	case <-ctx.Done():
		return messenger.Message{}, false
	}
}
