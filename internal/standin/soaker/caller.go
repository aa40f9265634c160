package soaker

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"
)

const (
	// callTimeout is how long a caller waits for a response.
	callTimeout = 3500 * time.Millisecond
	maxPause    = 40 * time.Millisecond
	// redialPause is the pause before a caller opens its next connection.
	redialPause = 50 * time.Millisecond
	// hastyEvery is how many calls there are for one whose caller waits for
	// maxHastyWait at most.
	hastyEvery   = 25
	maxHastyWait = 200 * time.Millisecond
	// revocableEvery is how many calls there are for one with a revocable key.
	revocableEvery = 8
)

// caller sends calls one after another. It uses a connection until it ends.
type caller struct {
	name     string
	gateways []*Gateway
	site     Site
	journal  *Journal
	random   *rand.Rand
	keys     []string
	// stubborn is true if the caller uses a connection until it is closed, even after
	// a response that announces its end.
	stubborn bool
	// active, if set, is true while the caller sends calls.
	active *atomic.Bool
	sent   int
}

// run sends calls until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if g := c.choose(); g != nil && c.isActive() {
			c.useConnection(ctx, g)
		}
		sleep(ctx, redialPause)
	}
}

func (c *caller) isActive() bool { return c.active == nil || c.active.Load() }

// choose returns a gateway in rotation, or nil.
func (c *caller) choose() *Gateway {
	for _, i := range c.random.Perm(len(c.gateways)) {
		if c.gateways[i].isInRotation() {
			return c.gateways[i]
		}
	}
	return nil
}

func (c *caller) useConnection(ctx context.Context, g *Gateway) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", g.Front.String())
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for ctx.Err() == nil && c.isActive() {
		call := c.next(g)
		_ = conn.SetDeadline(call.BeganAt.Add(c.wait(&call)))
		open := c.site.Exchange(conn, reader, &call)
		call.EndedAt = time.Now()
		c.journal.AddCall(call)
		if !open && (!c.stubborn || !call.Outcome.isComplete()) {
			return
		}
		sleep(ctx, time.Duration(c.random.Int64N(int64(maxPause))))
	}
}

// wait returns how long the caller waits for the response to a call.
func (c *caller) wait(call *Call) time.Duration {
	if call.Hasty = c.random.IntN(hastyEvery) == 0; call.Hasty {
		return time.Duration(c.random.Int64N(int64(maxHastyWait)))
	}
	return callTimeout
}

func (c *caller) next(g *Gateway) Call {
	c.sent++
	routes := c.site.Routes()
	call := Call{
		ID: fmt.Sprintf("%s-%d", c.name, c.sent), Route: routes[c.random.IntN(len(routes))], Key: c.keys[0],
		Gateway: g.Name, Process: g.processNumber(), BeganAt: time.Now(),
	}
	if c.random.IntN(revocableEvery) == 0 {
		call.Key = c.keys[c.random.IntN(len(c.keys))]
	}
	return call
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
