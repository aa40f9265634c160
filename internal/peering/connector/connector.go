package connector

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/peering/messenger"
)

const (
	dialTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the back-off between two connection attempts.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 3 * time.Second
	// holdTimeout is how long a held message stays valid without a connection.
	holdTimeout = time.Second
)

// Connector maintains one connection, to the first controller that completes the
// handshake.
type Connector struct {
	cfg     Config
	session atomic.Pointer[session]
	// held is the message to send first on the next connection.
	held atomic.Pointer[heldMessage]
	// wake cuts the back-off short.
	wake chan struct{}
}

// heldMessage is a message that is held until a connection is open.
type heldMessage struct {
	message  messenger.Message
	deadline time.Time
}

// New returns a Connector; Run connects it.
func New(cfg Config) *Connector {
	return &Connector{cfg: cfg.withDefaults(), wake: make(chan struct{}, 1)}
}

// Send queues m for the controller. It reports false if there is no connection or
// its send queue is full.
func (c *Connector) Send(m messenger.Message) bool {
	s := c.session.Load()
	return s != nil && s.send(m)
}

// sendOrHold queues m. If that fails, m is held for up to holdTimeout and sent
// first on the next connection. Only the most recent message is held.
func (c *Connector) sendOrHold(m messenger.Message) {
	if c.Send(m) {
		return
	}
	c.held.Store(&heldMessage{message: m, deadline: time.Now().Add(holdTimeout)})
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// sendHeld queues the held message, unless it has expired.
func (c *Connector) sendHeld(s *session) {
	h := c.held.Swap(nil)
	if h != nil && time.Now().Before(h.deadline) {
		s.send(h.message)
	}
}

// Run connects, and reconnects with exponential back-off and jitter, until ctx is
// done.
func (c *Connector) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if s := c.connectFirst(ctx); s != nil {
			c.runSession(ctx, s)
			backoff = minBackoff
		}
		select {
		case <-time.After(backoff/2 + rand.N(backoff/2)):
		case <-c.wake:
		case <-ctx.Done():
		}
		backoff = min(2*backoff, c.backoffLimit())
	}
}

// backoffLimit returns the maximum back-off. A process without a bundle can serve
// nothing, so it retries at the shortest interval.
func (c *Connector) backoffLimit() time.Duration {
	if c.cfg.Holder.Current() == nil {
		return minBackoff
	}
	return maxBackoff
}

// runSession handles the messages of s until the connection ends. It calls OnConnect
// before and OnDisconnect after that.
func (c *Connector) runSession(ctx context.Context, s *session) {
	log := c.cfg.Log.WithField("peer", s.peer.Node)
	defer s.conn.Close()
	log.Info("connected to controller")
	c.session.Store(s)
	c.sendHeld(s)
	c.cfg.OnConnect(s.peer)
	err := s.run(ctx)
	c.session.Store(nil)
	c.cfg.OnDisconnect(s.peer)
	log.WithError(err).Info("connection to controller ended")
}

func (c *Connector) connect(ctx context.Context, address netip.AddrPort) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := messenger.Dial(ctx, c.cfg.Client, "http://"+address.String())
	if err != nil {
		return nil, err
	}
	peer, err := c.handshake(ctx, conn)
	if err != nil {
		conn.Close()
		return nil, err
	}
	return newSession(c.cfg, conn, peer), nil
}

// handshake exchanges hellos and checks that the peer is a controller of the same
// deployment.
func (c *Connector) handshake(ctx context.Context, conn *messenger.Conn) (messenger.Hello, error) {
	hello := c.cfg.Hello
	hello.BundleVersion = c.cfg.Holder.Version()
	if err := conn.Write(ctx, messenger.Message{Hello: &hello}); err != nil {
		return messenger.Hello{}, err
	}
	response, err := conn.Read(ctx)
	if err != nil {
		return messenger.Hello{}, err
	}
	if response.Hello == nil || response.Hello.Deployment != hello.Deployment || response.Hello.Role != messenger.Controller {
		return messenger.Hello{}, classifier.New(classifier.PeerRefused, "handshake: want a hello from a controller of deployment %q", hello.Deployment)
	}
	return *response.Hello, nil
}
