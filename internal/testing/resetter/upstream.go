// Package resetter is an upstream of tests that answers within an upload and then ends its
// connection, and a dialer that fixes the order in which a client learns of that.
package resetter

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// bufferBytes is the size of the socket buffers, which uploads have to exceed.
const bufferBytes = 4 << 10

// End is how an upstream ends the connection behind its response.
type End string

// Ends of connections.
const (
	// Reset resets the connection. The upstream has read the head of the request only.
	Reset End = "reset"
	// HalfClose ends the upstream's side and reads no more.
	HalfClose End = "half_close"
	// HalfCloseReset ends the upstream's side and then resets the connection.
	HalfCloseReset End = "half_close_reset"
	// Close reads the whole request before the response and closes the connection.
	Close End = "close"
)

// Answer is the answer to one request.
type Answer struct {
	// Response is what the upstream sends. ID stands for the value of Config.IDHeader in the
	// request.
	Response string `json:"response"`
	End      End    `json:"end"`
}

// resets reports whether the client's upload fails.
func (a Answer) resets() bool { return a.End == Reset || a.End == HalfCloseReset }

// Config configures an Upstream.
type Config struct {
	// Answers are those to the requests in their order, of which one at a time may be sent.
	// The last one is also that to all further requests.
	Answers  []Answer
	IDHeader string
	// LateWrite makes the write that has failed, or has sent the last byte of a request,
	// return only once a read has got the end of the connection.
	LateWrite bool
	// ServerTLS and ClientTLS are the configurations of both sides, nil for plain TCP.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
}

// Upstream is a server on the loopback.
type Upstream struct {
	cfg      Config
	listener net.Listener

	mu sync.Mutex
	// sent and received count the requests that the client has begun to write, and those
	// whose head has arrived.
	sent, received int
	conns          []net.Conn
}

// Start starts an upstream that runs until the test ends.
func Start(t testing.TB, cfg Config) *Upstream {
	t.Helper()
	listener, err := (&net.ListenConfig{Control: limitBuffers}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &Upstream{cfg: cfg, listener: listener}
	var served sync.WaitGroup
	served.Go(func() { u.run(&served) })
	t.Cleanup(func() {
		u.close()
		served.Wait()
	})
	return u
}

// limitBuffers sets the sizes of the buffers of a socket.
func limitBuffers(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, bufferBytes)
		if optionErr == nil {
			optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bufferBytes)
		}
	})
	if err != nil {
		return err
	}
	return optionErr
}

// Address returns the address at which the upstream listens.
func (u *Upstream) Address() string { return u.listener.Addr().String() }

// Requests returns the number of requests that the upstream has got.
func (u *Upstream) Requests() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.received
}

// next returns the answer to the next request, which counter counts.
func (u *Upstream) next(counter *int) Answer {
	u.mu.Lock()
	defer u.mu.Unlock()
	answer := u.cfg.Answers[min(*counter, len(u.cfg.Answers)-1)]
	*counter++
	return answer
}

func (u *Upstream) close() {
	_ = u.listener.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, conn := range u.conns {
		_ = conn.Close()
	}
}

// run accepts connections until the listener is closed.
func (u *Upstream) run(served *sync.WaitGroup) {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns = append(u.conns, conn)
		u.mu.Unlock()
		served.Go(func() { u.serve(conn.(*net.TCPConn)) })
	}
}

// serve answers one request. The connection stays open if it has not been ended.
func (u *Upstream) serve(socket *net.TCPConn) {
	var conn net.Conn = socket
	if u.cfg.ServerTLS != nil {
		conn = tls.Server(socket, u.cfg.ServerTLS)
	}
	r, err := http.ReadRequest(bufio.NewReaderSize(conn, bufferBytes))
	if err != nil {
		return // a connection without a request
	}
	answer := u.next(&u.received)
	if answer.End == Close {
		_, _ = io.Copy(io.Discard, r.Body) // fails if the client has left
	}
	_, _ = io.WriteString(conn, strings.ReplaceAll(answer.Response, "ID", r.Header.Get(u.cfg.IDHeader)))
	switch answer.End {
	case HalfClose, HalfCloseReset:
		_ = socket.CloseWrite()
	case Close:
		_ = conn.Close()
	}
	if answer.resets() {
		_ = socket.SetLinger(0)
		_ = socket.Close()
	}
}

// Dial opens a connection to the upstream, whatever the address. Reads begin with the first
// write, or once a write has failed if the upload does.
func (u *Upstream) Dial(ctx context.Context, network, _ string) (net.Conn, error) {
	conn, err := (&net.Dialer{Control: limitBuffers}).DialContext(ctx, network, u.Address())
	if err != nil {
		return nil, err
	}
	if u.cfg.ClientTLS == nil {
		return newClientConn(conn, u), nil
	}
	client := tls.Client(conn, u.cfg.ClientTLS)
	if err := client.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return newClientConn(client, u), nil
}
