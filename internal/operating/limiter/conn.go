package limiter

import (
	"container/list"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"gentianstep.example/gentianstep/internal/operating/reserver"
)

const (
	// receiveBytes is the size of the receive buffer of a connection in the kernel, without
	// what the kernel adds. It bounds the bytes that are received and not read: 12 KiB.
	receiveBytes = 8 << 10
	// widenedBytes is the bound for a connection that sends a large body, and kernelFactor how
	// much more the kernel takes than the size of the buffer.
	widenedBytes = 128 << 10
	kernelFactor = 2
)

// LimitReceiving is a callback for net.ListenConfig.Control. It bounds the bytes that each
// connection of a listener has received and the process has not read.
func LimitReceiving(_, _ string, socket syscall.RawConn) error {
	var err error
	controlErr := socket.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes)
	})
	return errors.Join(controlErr, err)
}

// Conn is a connection that counts against the limit of a Listener.
type Conn struct {
	net.Conn
	// OverLimit is true if the connection exceeds the limit. Its requests are
	// rejected.
	OverLimit bool

	// overflow is true if the connection exceeds the limit by more than
	// maxOverLimit. It is closed at once.
	overflow bool
	listener *Listener
	// memory is the memory of the connection and of the head of its request.
	memory *reserver.Reservation
	// headCost is the cost of the head that is being read, and inHandler is true once it was
	// read.
	headCost  atomic.Int64
	inHandler atomic.Bool
	// widened is true if more bytes may be received than by default. Only the goroutine that
	// serves the connection uses it.
	widened bool

	// The fields below are guarded by listener.mu.

	// queuedAt is when the connection was added to queue.
	queuedAt time.Time
	// queue is the eviction queue that holds the connection, nil while a request
	// is served.
	queue   *connQueue
	element *list.Element
	// receiving is true from the header of a request until the next one is awaited.
	receiving bool
	// hijacked is true once the connection no longer carries requests.
	hijacked bool
	// ending is true from the eviction until http.Server closes the connection.
	ending bool
	// removed is true once the connection is closed or evicted.
	removed bool
}

// Close closes the connection and stops counting it.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	c.listener.remove(c)
	if c.ending {
		c.ending = false
		c.listener.ending--
	}
	c.listener.mu.Unlock()
	c.memory.Release()
	return c.Conn.Close()
}

// Read implements net.Conn. It fails if there is no memory for the head of a request.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.inHandler.Load() {
		return n, err
	}
	c.memory.RecordProgress(n)
	cost := reserver.HeadCost(p[:n])
	if c.listener.cfg.Encrypted {
		cost = reserver.EncryptedHeadCost(n)
	}
	before := c.headCost.Add(cost) - cost
	excess := max(before+cost-reserver.HeadAllowance, 0) - max(before-reserver.HeadAllowance, 0)
	if excess > 0 {
		if memoryErr := c.memory.Reserve(excess); memoryErr != nil {
			_ = c.Conn.Close()
			return 0, fmt.Errorf("read head: %w", memoryErr)
		}
	}
	return n, err
}

// widen lets a connection receive more bytes at once, for a large body. Without memory for them
// it stays as it is.
func (c *Conn) widen() {
	conn, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error })
	if !ok || c.widened || !c.memory.ReserveFree(widenedBytes) {
		return
	}
	c.widened = conn.SetReadBuffer(widenedBytes/kernelFactor) == nil
}

// narrow undoes widen.
func (c *Conn) narrow() {
	if conn, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error }); ok && c.widened {
		c.widened = conn.SetReadBuffer(receiveBytes) != nil
	}
}

// bytes returns the memory of the connection without large heads.
func (c *Conn) bytes() int64 {
	if c.listener.cfg.Encrypted {
		return reserver.ConnectionBytes + reserver.EncryptedBytes
	}
	return reserver.ConnectionBytes
}

// beginRequest notes that the head of a request was read. It returns false if the connection
// was evicted.
func (c *Conn) beginRequest() bool {
	c.inHandler.Store(true)
	return c.memory.Complete() == nil
}

// awaitRequest releases the memory of the head of a request that has ended.
func (c *Conn) awaitRequest() {
	c.narrow()
	c.memory.Await(c.bytes())
	c.headCost.Store(0)
	c.inHandler.Store(false)
}

// SetLinger sets what becomes of unsent data when the connection is closed, as that of a
// net.TCPConn does. Connections of other kinds have no such setting.
func (c *Conn) SetLinger(seconds int) error {
	if conn, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return conn.SetLinger(seconds)
	}
	return nil
}

// markServing exempts the connection from eviction while its request is served.
// It returns false if the connection is already evicted or closed.
func (c *Conn) markServing() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.dequeue()
	return !c.removed
}

// enqueue moves the connection to the end of an eviction queue.
func (c *Conn) enqueue(q *connQueue) {
	if c.removed {
		return
	}
	c.dequeue()
	q.push(c, time.Now())
}

// dequeue removes the connection from its eviction queue, if any.
func (c *Conn) dequeue() {
	if c.queue != nil {
		c.queue.list.Remove(c.element)
		c.queue, c.element = nil, nil
	}
}

// ConnState is a callback for http.Server.ConnState. It tells the Listener which
// connections are idle and which receive a request.
func ConnState(conn net.Conn, state http.ConnState) {
	c, ok := limitedConn(conn)
	if !ok {
		return
	}
	if state == http.StateIdle {
		c.awaitRequest()
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.receiving = false
		c.enqueue(&c.listener.idle)
	case http.StateActive:
		c.markReceiving()
		c.enqueue(&c.listener.incomplete)
	case http.StateHijacked:
		c.markHijacked()
	case http.StateNew, http.StateClosed:
	}
}

// markHijacked notes that the server no longer ends the connection. The caller holds
// listener.mu.
func (c *Conn) markHijacked() {
	if !c.removed {
		c.hijacked = true
		c.listener.hijacked++
	}
}

// limitedConn returns the Conn that conn is or, with TLS, wraps.
func limitedConn(conn net.Conn) (*Conn, bool) {
	if encrypted, ok := conn.(*tls.Conn); ok {
		conn = encrypted.NetConn()
	}
	c, ok := conn.(*Conn)
	return c, ok
}

// connQueue is an eviction queue: connections in the order in which they were
// added.
type connQueue struct {
	list list.List
}

func (q *connQueue) push(c *Conn, now time.Time) {
	c.queuedAt, c.queue = now, q
	c.element = q.list.PushBack(c)
}

// oldest returns the connection at the front, or nil if the queue is empty.
func (q *connQueue) oldest() *Conn {
	front := q.list.Front()
	if front == nil {
		return nil
	}
	return front.Value.(*Conn) //nolint:forcetypeassert // Only push adds to the list.
}
