package limiter_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/operating/limiter"
	"gentianstep.example/gentianstep/internal/operating/meter"
)

const (
	testLimit = 20
	// testRequests is the number of complete requests that must be served.
	testRequests = 20
	// testTimeout limits the time to open a connection and receive its responses.
	testTimeout = 10 * time.Second
)

// server is an HTTP server with limited connections. A request for /held sends to
// held and is answered once release is closed, others are answered at once.
type server struct {
	address string
	held    chan struct{}
	release chan struct{}
}

// startServer starts a server that is closed at the end of the test.
func startServer(t *testing.T) *server {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{address: l.Addr().String(), held: make(chan struct{}, 4*testLimit), release: make(chan struct{})}
	h := &http.Server{
		ReadHeaderTimeout: time.Minute, // long enough that only the limit closes connections
		ConnContext:       limiter.ConnContext,
		ConnState:         limiter.ConnState,
		Handler: limiter.TrackRequests(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.ReadAll(r.Body); err != nil {
				panic(http.ErrAbortHandler)
			}
			if r.URL.Path == "/held" {
				s.held <- struct{}{}
				<-s.release
			}
			_, _ = io.WriteString(w, "served")
		})),
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = h.Serve(limiter.NewListener(limiter.ListenerConfig{Listener: l, Name: "callers", Limit: testLimit, Meter: meter.New()}))
	}()
	t.Cleanup(func() {
		_ = h.Close()
		<-done
	})
	return s
}

// open connects to the server and sends text.
func (s *server) open(t *testing.T, text string) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	_, _ = io.WriteString(conn, text) // a connection over the limit may be closed
	return conn
}

// readBody reads one response and returns its body, or "" if there is no complete
// response.
func readBody(conn net.Conn) string {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return ""
	}
	return string(body)
}

const (
	get     = "GET /now HTTP/1.1\r\nHost: a.example\r\n\r\n"
	getHeld = "GET /held HTTP/1.1\r\nHost: a.example\r\n\r\n"
)

// Connections without a complete request, whether incomplete or idle, must not
// keep new requests from being served when they occupy the whole limit.
func TestEvictsConnectionsWithoutCompleteRequest(t *testing.T) {
	t.Parallel()
	for _, row := range []struct {
		name, sent string
		// answered is true if each connection receives a response first.
		answered bool
	}{
		{name: "nothing sent"},
		{name: "incomplete request line", sent: "GET /n"},
		{name: "incomplete header", sent: "GET /now HTTP/1.1\r\nHost: a.exa"},
		{name: "incomplete body", sent: "POST /now HTTP/1.1\r\nHost: a.example\r\nContent-Length: 10\r\n\r\nabc"},
		{name: "incomplete chunk", sent: "POST /now HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc"},
		{name: "idle after a response", sent: get, answered: true},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := startServer(t)
			for range 8 * testLimit {
				conn := s.open(t, row.sent)
				if row.answered {
					is.Equal(readBody(conn), "served")
				}
			}
			for range testRequests {
				is.Equal(readBody(s.open(t, get)), "served")
			}
		})
	}
}

// Connections that serve a request must not be evicted for new connections.
func TestKeepsConnectionsWithRequestInProgress(t *testing.T) {
	t.Parallel()
	for _, sent := range []string{
		getHeld,
		"POST /held HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\n\r\nabc",
		"POST /held HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		get + getHeld, // second request of a connection
	} {
		t.Run(fmt.Sprintf("%.20q", sent), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := startServer(t)
			serving := make([]net.Conn, 0, testLimit)
			for range testLimit {
				serving = append(serving, s.open(t, sent))
			}
			for range testLimit {
				<-s.held
			}
			for range 8 * testLimit {
				s.open(t, "GET /n")
			}
			close(s.release)
			for _, conn := range serving {
				reader := bufio.NewReader(conn)
				want := strings.Count(sent, " HTTP/1.1")
				for range want {
					response, err := http.ReadResponse(reader, nil)
					is.NoErr(err)
					body, err := io.ReadAll(response.Body)
					is.NoErr(err)
					_ = response.Body.Close()
					is.Equal(string(body), "served")
				}
			}
		})
	}
}
