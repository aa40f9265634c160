package limiter_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/operating/limiter"
	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

const (
	// drainTime is the time for a stop, slowTime that of a slow request.
	drainTime = 4 * time.Second
	slowTime  = 800 * time.Millisecond
)

// drainRow is a connection to a server that stops.
type drainRow struct {
	Name string `json:"name"`
	// OpensMS is when the client opens its connection, before the stop.
	OpensMS int `json:"opens_ms"`
	// Sends lists what the client sends and when, from the stop on.
	Sends []struct {
		AtMS int    `json:"at_ms"`
		Text string `json:"text"`
	} `json:"sends"`
	// Answers is the number of complete responses.
	Answers int `json:"answers"`
	// EndsWithinMS is the time from the stop until the server closes the connection.
	EndsWithinMS int `json:"ends_within_ms"`
	// Cut is true if the time for the stop is over before.
	Cut bool `json:"cut"`
}

// pipeListener accepts one connection through an in-memory pipe.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestRequestsReadDuringStopAreServed checks that a server that stops serves each request
// that it reads.
func TestRequestsReadDuringStopAreServed(t *testing.T) {
	t.Parallel()
	var rows []drainRow
	scripter.Read(t, "testdata/drains.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { checkDrain(t, row) })
		})
	}
}

func checkDrain(t *testing.T, row drainRow) {
	is := is.New(t)
	pipes := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	l := limiter.NewListener(limiter.ListenerConfig{Listener: pipes, Name: "callers", Limit: testLimit, Meter: meter.New()})
	h := &http.Server{
		Handler:           limiter.TrackRequests(http.HandlerFunc(answerByPath)),
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       time.Minute,
		ConnContext:       limiter.ConnContext,
		ConnState:         limiter.ConnState,
	}
	go func() { _ = h.Serve(l) }() // ends with the listener
	client, accepted := net.Pipe()
	pipes.conns <- accepted
	stopAt := time.Now().Add(time.Duration(row.OpensMS) * time.Millisecond)
	var sends sync.WaitGroup
	sends.Go(func() {
		for _, send := range row.Sends {
			time.Sleep(time.Until(stopAt.Add(time.Duration(send.AtMS) * time.Millisecond)))
			_, _ = io.WriteString(client, send.Text) // fails if the server has closed the connection
		}
	})
	answers := make(chan int)
	go func() { answers <- countAnswers(client) }()
	time.Sleep(time.Until(stopAt))
	ctx, cancel := context.WithTimeout(t.Context(), drainTime)
	defer cancel()
	err := l.Drain(ctx)
	took := time.Since(stopAt)
	_ = h.Close()
	is.Equal(<-answers, row.Answers)
	is.Equal(err != nil, row.Cut)
	is.True(took <= time.Duration(row.EndsWithinMS)*time.Millisecond)
	_ = client.Close()
	sends.Wait()
}

// countAnswers reads responses until the server closes the connection.
func countAnswers(conn net.Conn) int {
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return n
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return n
		}
		_ = response.Body.Close()
	}
}

func answerByPath(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	wait := time.Duration(0)
	switch r.URL.Path {
	case "/slow":
		wait = slowTime
	case "/endless":
		wait = time.Hour
	}
	select {
	case <-time.After(wait):
		_, _ = io.WriteString(w, "served")
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}
