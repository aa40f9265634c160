package piper_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/testing/piper"
)

// TestUnusedConnectionsStayOpen guards against tests that fail at times because a
// connection that a client has opened and not used is closed as its request is sent.
func TestUnusedConnectionsStayOpen(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := piper.New()
		defer n.Close()
		n.Serve("server", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		conn, err := n.Dial(t.Context(), "tcp", "server")
		is.NoErr(err)
		time.Sleep(10 * time.Minute)
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: server\r\n\r\n")
		is.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.NoErr(conn.Close())
	})
}
