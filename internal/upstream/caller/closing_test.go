package caller_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// closingRow is a call over a TCP connection whose upstream reads the first byte of the
// request and the rest only once the call has ended.
type closingRow struct {
	Name      string `json:"name"`
	BodyBytes int    `json:"body_bytes"`
	// Response is the text that the upstream writes, empty for none.
	Response string `json:"response"`
	// End is how the call ends: cancel, deadline, discard or finish.
	End string `json:"end"`
	// Reset is true if the connection must be reset, so that bytes that were not yet
	// sent are dropped.
	Reset bool `json:"reset"`
}

// TestAbandonedRequestsAreReset guards against requests that reach an upstream, and are
// run there, after the caller has given up: the rest of their bytes and the end of the
// connection wait behind other bytes.
func TestAbandonedRequestsAreReset(t *testing.T) {
	t.Parallel()
	var rows []closingRow
	scripter.Read(t, "testdata/closing.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			row.run(t)
		})
	}
}

func (row closingRow) run(t *testing.T) {
	is := is.New(t)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	c := caller.New(caller.Config{})
	defer c.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	call := caller.Call{
		Method: http.MethodPost, Path: "/", Body: make([]byte, row.BodyBytes),
		FirstByteDeadline: time.Now().Add(time.Minute), IdleTimeout: time.Minute,
	}
	if row.End == "deadline" {
		call.FirstByteDeadline = time.Now().Add(300 * time.Millisecond)
	}
	ended := make(chan error, 1)
	go func() {
		response, err := c.Do(ctx, caller.Target{Name: "u", Address: netip.MustParseAddrPort(listener.Addr().String())}, call)
		switch {
		case err != nil:
		case row.End == "discard":
			response.Discard()
		default:
			err = response.Finish()
			c.Close()
		}
		ended <- err
	}()
	conn, err := listener.Accept()
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.SetDeadline(time.Now().Add(30 * time.Second)))
	_, err = io.ReadFull(conn, make([]byte, 1))
	is.NoErr(err)
	_, err = io.WriteString(conn, row.Response)
	is.NoErr(err)
	if row.End == "cancel" {
		cancel()
	}
	failed := <-ended != nil
	is.Equal(failed, row.End == "cancel" || row.End == "deadline")
	_, err = io.Copy(io.Discard, conn)
	is.Equal(errors.Is(err, syscall.ECONNRESET), row.Reset)
	if !row.Reset {
		is.NoErr(err)
	}
}
