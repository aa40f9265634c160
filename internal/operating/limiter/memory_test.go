package limiter_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/operating/limiter"
	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/operating/reserver"
)

// startMemoryServer starts a server whose memory suffices for testLimit connections. The limit
// of connections is far higher.
func startMemoryServer(t *testing.T) (*server, *reserver.Reserver) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	memory := reserver.New(reserver.Config{Bytes: testLimit * reserver.ConnectionBytes, Meter: meter.New(), Log: logrus.NewEntry(log)})
	l, err := (&net.ListenConfig{Control: limiter.LimitReceiving}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &http.Server{
		ReadHeaderTimeout: time.Minute,
		ConnContext:       limiter.ConnContext,
		ConnState:         limiter.ConnState,
		Handler: limiter.TrackRequests(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "served")
		})),
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = h.Serve(limiter.NewListener(limiter.ListenerConfig{Listener: l, Name: "callers", Limit: 100 * testLimit, Memory: memory, Meter: meter.New()}))
	}()
	t.Cleanup(func() {
		_ = h.Shutdown(context.WithoutCancel(t.Context()))
		_ = h.Close()
		<-done
	})
	return &server{address: l.Addr().String()}, memory
}

// awaitHeld waits until the memory that is held is n bytes.
func awaitHeld(t *testing.T, memory *reserver.Reserver, n int64) {
	t.Helper()
	for until := time.Now().Add(testTimeout); memory.Held() != n; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("memory held: %d bytes, want %d", memory.Held(), n)
		}
	}
}

// TestNewConnectionsAreServedWithoutMemory guards against connections that keep others from
// being served because they hold all memory, and against memory beyond the budget.
func TestNewConnectionsAreServedWithoutMemory(t *testing.T) {
	t.Parallel()
	// evicting is the memory of connections that were evicted and whose goroutines have not ended.
	const evicting = 64 * reserver.ConnectionBytes
	for name, sent := range map[string]string{
		"nothing sent":      "",
		"incomplete header": "GET /now HTTP/1.1\r\nHost: a.exa",
		"incomplete body":   "POST /now HTTP/1.1\r\nHost: a.example\r\nContent-Length: 10\r\n\r\nabc",
		"many fields":       "GET /now HTTP/1.1\r\nHost: a.example\r\n" + strings.Repeat("A: b\r\n", 200),
		"idle":              get,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s, memory := startMemoryServer(t)
			for range 8 * testLimit {
				s.open(t, sent)
				is.True(memory.Held() <= reserver.Total(testLimit*reserver.ConnectionBytes)+evicting)
			}
			for range testRequests {
				is.Equal(readBody(s.open(t, get)), "served")
			}
		})
	}
}

// TestHeadHoldsMemoryUntilItsRequestEnds guards against a head that is not counted, and against
// memory that is kept after the request or the connection.
func TestHeadHoldsMemoryUntilItsRequestEnds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, memory := startMemoryServer(t)
	conn := s.open(t, "")
	awaitHeld(t, memory, reserver.ConnectionBytes)
	head := "GET /now HTTP/1.1\r\nHost: a.example\r\nX-Filler: " + strings.Repeat("x", 8<<10) + "\r\n"
	_, err := io.WriteString(conn, head)
	is.NoErr(err)
	awaitHeld(t, memory, reserver.ConnectionBytes+reserver.HeadCost([]byte(head))-reserver.HeadAllowance)
	for range 2 {
		_, err = io.WriteString(conn, "\r\n")
		is.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
		_ = response.Body.Close()
		awaitHeld(t, memory, reserver.ConnectionBytes)
		_, err = io.WriteString(conn, strings.TrimSuffix(get, "\r\n"))
		is.NoErr(err)
	}
	is.NoErr(conn.Close())
	awaitHeld(t, memory, 0)
}

// TestHeadWithoutMemoryEndsItsConnection guards against a head that exceeds the budget.
func TestHeadWithoutMemoryEndsItsConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, memory := startMemoryServer(t)
	conn := s.open(t, "GET /now HTTP/1.1\r\nHost: a.example\r\n"+strings.Repeat("A: b\r\n", 8000))
	_, err := io.ReadAll(conn)
	is.True(err == nil || !strings.Contains(err.Error(), "timeout"))
	awaitHeld(t, memory, 0)
	is.Equal(readBody(s.open(t, get)), "served")
}

// TestLargeBodyWidensItsConnection guards against a large body that stays slow, and against
// memory of its buffer that is kept.
func TestLargeBodyWidensItsConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, memory := startMemoryServer(t)
	conn := s.open(t, "POST /now HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1048576\r\n\r\n"+strings.Repeat("x", 512<<10))
	for until := time.Now().Add(testTimeout); memory.Held() < 128<<10 && time.Now().Before(until); time.Sleep(time.Millisecond) {
	}
	is.True(memory.Held() >= 128<<10)
	_, err := io.WriteString(conn, strings.Repeat("x", 512<<10))
	is.NoErr(err)
	is.Equal(readBody(conn), "served")
	awaitHeld(t, memory, reserver.ConnectionBytes)
}
