package piper

import (
	"context"
	"time"
)

// maxDelayedWrites bounds the writes that are on their way on one connection.
const maxDelayedWrites = 256

// delayedWrite is data, or the end of a connection if nil, that reaches the server
// at a time.
type delayedWrite struct {
	data []byte
	at   time.Time
}

// Delay makes what clients send to address from now on reach the server after a
// time: the opening of connections, what is written, and their end or reset.
func (n *Network) Delay(address string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.hosts[address]
	h.delay = d
	for _, c := range h.clientConns {
		c.setDelay(d)
	}
}

// waitForOpening waits until the opening of a connection has reached the server at
// address.
func (n *Network) waitForOpening(ctx context.Context, address string) error {
	delay := time.Duration(0)
	n.mu.Lock()
	if h := n.hosts[address]; h != nil {
		delay = h.delay
	}
	n.mu.Unlock()
	if delay == 0 {
		return nil
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// setDelay changes the time that writes take, unless the connection is closed.
func (c *clientConn) setDelay(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.closed:
		return
	default:
	}
	c.delay = d
	if c.delayed == nil && d > 0 {
		c.delayed = make(chan delayedWrite, maxDelayedWrites)
		go c.run(c.delayed)
	}
}

// run delivers the delayed writes in order.
func (c *clientConn) run(delayed <-chan delayedWrite) {
	for w := range delayed {
		time.Sleep(time.Until(w.at))
		if w.data == nil {
			_ = c.Conn.Close()
			return
		}
		_, _ = c.Conn.Write(w.data) // fails if the server has closed the connection
	}
}

// enqueue schedules the delivery of data, or of the end of the connection if nil. It
// returns false if the connection has no delay.
func (c *clientConn) enqueue(data []byte) bool {
	c.mu.Lock()
	delayed, at := c.delayed, time.Now().Add(c.delay)
	c.mu.Unlock()
	if delayed != nil {
		delayed <- delayedWrite{data: data, at: at}
	}
	return delayed != nil
}
