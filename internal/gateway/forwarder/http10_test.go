package forwarder_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/operating/limiter"
	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// TestResponsesToHTTP10Clients checks responses that end with their connection, since HTTP/1.0
// has no chunks: the connection of one that is not complete is reset. Pipes cannot be reset,
// so clients connect by TCP.
func TestResponsesToHTTP10Clients(t *testing.T) {
	t.Parallel()
	var rows []brokenStreamRow
	scripter.Read(t, "testdata/http10.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			checkHTTP10(t, row)
		})
	}
}

func checkHTTP10(t *testing.T, row brokenStreamRow) {
	is := is.New(t)
	f := newFixture(t, 3)
	script := &answerScript{fixture: f, answers: row.Answers}
	for n := range f.workers {
		f.network.Host(workerAddress(n).String()).Handle(script.handler(n))
	}
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", f.listenTCP(t))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	r := f.request(t, row.Route, "id-1")
	head := r.Method + " " + r.URL.Path + " HTTP/1.0\r\nHost: " + r.Host + "\r\n"
	for name := range r.Header {
		head += name + ": " + r.Header.Get(name) + "\r\n"
	}
	_, err = io.WriteString(conn, head+"\r\n")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), r)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	is.Equal(response.Proto, "HTTP/1.0")
	is.Equal(response.StatusCode, row.Status)
	if row.Complete {
		is.NoErr(err)
		is.Equal(string(body), row.Body)
	} else {
		is.True(errors.Is(err, syscall.ECONNRESET)) // the response does not look complete
	}
	is.Equal(f.requestLine(t)["client_end"] == "complete", row.Complete)
}

// listenTCP serves the forwarder as the gateway does and returns the address.
func (f *fixture) listenTCP(t *testing.T) string {
	t.Helper()
	plain, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		Handler:           limiter.TrackRequests(f.forwarder),
		ReadHeaderTimeout: timeout,
		ConnContext:       limiter.ConnContext,
		ConnState:         limiter.ConnState,
	}
	listener := limiter.NewListener(limiter.ListenerConfig{Listener: plain, Name: "callers", Limit: 8, Meter: meter.New()})
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(listener) // returns when the server is closed
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-served
	})
	return plain.Addr().String()
}
