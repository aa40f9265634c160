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
	// testGood is the number of requests that have to be served.
	testGood = 20
	// testTimeout bounds each answer.
	testTimeout = 10 * time.Second
)

// server is an HTTP server whose connections are limited. Its path /held answers
// once release is closed, the others at once.
type server struct {
	address string
	held    chan struct{}
	release chan struct{}
}

func serve(t *testing.T) *server {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{address: l.Addr().String(), held: make(chan struct{}, 4*testLimit), release: make(chan struct{})}
	h := &http.Server{
		ReadHeaderTimeout: time.Minute, // only the limit closes connections here
		ConnContext:       limiter.ConnContext,
		ConnState:         limiter.ConnState,
		Handler: limiter.Track(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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

// open opens a connection and sends text.
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

// answer reads one answer, empty where there is none.
func answer(conn net.Conn) string {
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

func TestConnectionsWithoutARequestGiveWay(t *testing.T) {
	t.Parallel()
	for _, row := range []struct {
		name, sent string
		// answered is true where the connections had an answer before.
		answered bool
	}{
		{name: "nothing sent"},
		{name: "half a request line", sent: "GET /n"},
		{name: "half a head", sent: "GET /now HTTP/1.1\r\nHost: a.exa"},
		{name: "half a body", sent: "POST /now HTTP/1.1\r\nHost: a.example\r\nContent-Length: 10\r\n\r\nabc"},
		{name: "half a chunk", sent: "POST /now HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc"},
		{name: "unused after an answer", sent: get, answered: true},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := serve(t)
			for range 8 * testLimit {
				conn := s.open(t, row.sent)
				if row.answered {
					is.Equal(answer(conn), "served")
				}
			}
			for range testGood {
				is.Equal(answer(s.open(t, get)), "served")
			}
		})
	}
}

func TestRequestsUnderWayGiveWayToNothing(t *testing.T) {
	t.Parallel()
	for _, sent := range []string{
		getHeld,
		"POST /held HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\n\r\nabc",
		"POST /held HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		get + getHeld, // the second one of a connection
	} {
		t.Run(fmt.Sprintf("%.20q", sent), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := serve(t)
			under := make([]net.Conn, 0, testLimit)
			for range testLimit {
				under = append(under, s.open(t, sent))
			}
			for range testLimit {
				<-s.held
			}
			for range 8 * testLimit {
				s.open(t, "GET /n")
			}
			close(s.release)
			for _, conn := range under {
				all := bufio.NewReader(conn)
				want := strings.Count(sent, " HTTP/1.1")
				for range want {
					response, err := http.ReadResponse(all, nil)
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
