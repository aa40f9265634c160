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
	firstRetry  = 100 * time.Millisecond
	lastRetry   = 3 * time.Second
	// holdTimeout is how long a message waits for a connection.
	holdTimeout = time.Second
)

// Connector keeps one connection to the first controller that answers.
type Connector struct {
	cfg     Config
	session atomic.Pointer[session]
	// held is the message that goes out first on the next connection.
	held atomic.Pointer[held]
	// wake ends the wait for the next attempt.
	wake chan struct{}
}

// held is a message that waits for a connection.
type held struct {
	message  messenger.Message
	deadline time.Time
}

// New returns a Connector that is not connected.
func New(cfg Config) *Connector {
	return &Connector{cfg: cfg.withDefaults(), wake: make(chan struct{}, 1)}
}

// Send queues m for the other end and reports whether it was queued.
func (c *Connector) Send(m messenger.Message) bool {
	s := c.session.Load()
	return s != nil && s.send(m)
}

// sendOrHold queues m. Without a connection it goes out first on the next one,
// in the place of a message held before, if that comes about in time.
func (c *Connector) sendOrHold(m messenger.Message) {
	if c.Send(m) {
		return
	}
	c.held.Store(&held{message: m, deadline: time.Now().Add(holdTimeout)})
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// sendHeld queues the message that waited for this connection.
func (c *Connector) sendHeld(s *session) {
	h := c.held.Swap(nil)
	if h != nil && time.Now().Before(h.deadline) {
		s.send(h.message)
	}
}

// Run connects again after every failure until ctx ends.
func (c *Connector) Run(ctx context.Context) {
	wait := firstRetry
	for ctx.Err() == nil {
		if s := c.connectFirst(ctx); s != nil {
			c.keep(ctx, s)
			wait = firstRetry
		}
		select {
		case <-time.After(wait/2 + rand.N(wait/2)):
		case <-c.wake:
		case <-ctx.Done():
		}
		wait = min(2*wait, c.longestWait())
	}
}

// longestWait bounds the wait between two tries. A process without a bundle
// has nothing else to do than to get one.
func (c *Connector) longestWait() time.Duration {
	if c.cfg.Holder.Current() == nil {
		return firstRetry
	}
	return lastRetry
}

// keep hands on what arrives on s until it ends.
func (c *Connector) keep(ctx context.Context, s *session) {
	log := c.cfg.Log.WithField("peer", s.peer.Node)
	defer s.conn.Close()
	log.Info("controller connected")
	c.session.Store(s)
	c.sendHeld(s)
	c.cfg.OnUp(s.peer)
	err := s.run(ctx)
	c.session.Store(nil)
	c.cfg.OnDown(s.peer)
	log.WithError(err).Info("controller connection ended")
}

func (c *Connector) connect(ctx context.Context, address netip.AddrPort) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := messenger.Dial(ctx, c.cfg.Client, "http://"+address.String())
	if err != nil {
		return nil, err
	}
	peer, err := c.greet(ctx, conn)
	if err != nil {
		conn.Close()
		return nil, err
	}
	return newSession(c.cfg, conn, peer), nil
}

func (c *Connector) greet(ctx context.Context, conn *messenger.Conn) (messenger.Hello, error) {
	hello := c.cfg.Hello
	hello.BundleVersion = c.cfg.Holder.Version()
	if err := conn.Write(ctx, messenger.Message{Hello: &hello}); err != nil {
		return messenger.Hello{}, err
	}
	answer, err := conn.Read(ctx)
	if err != nil {
		return messenger.Hello{}, err
	}
	if answer.Hello == nil || answer.Hello.Deployment != hello.Deployment || answer.Hello.Role != messenger.Controller {
		return messenger.Hello{}, classifier.New(classifier.PeerRefused, "takes a hello of a controller of deployment %s", hello.Deployment)
	}
	return *answer.Hello, nil
}
