package caller_test

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/testing/issuer"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// TestDiscardDoesNotWaitForTLS discards a response whose upstream reads no more. TLS
// waits for seconds until the message that ends it is written.
func TestDiscardDoesNotWaitForTLS(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		address := netip.MustParseAddrPort("10.0.0.1:443")
		authority := issuer.New(t, dir, "upstreams")
		files := authority.Issue("up", address.Addr())
		certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
		is.NoErr(err)
		c := caller.New(caller.Config{Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			clientEnd, serverEnd := net.Pipe()
			go func() {
				server := tls.Server(serverEnd, &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13})
				_, _ = server.Read(make([]byte, 1))
				_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
			}()
			client := tls.Client(clientEnd, &tls.Config{RootCAs: authority.Pool(), ServerName: address.Addr().String(), MinVersion: tls.VersionTLS13})
			return client, client.HandshakeContext(ctx)
		}})
		defer c.Close()
		response, err := c.Do(t.Context(), caller.Target{Name: "up", Address: address}, caller.Call{
			Method: http.MethodPost, Path: "/", FirstByteDeadline: time.Now().Add(time.Second), IdleTimeout: time.Second,
		})
		is.NoErr(err)
		start := time.Now()
		response.Discard()
		is.Equal(time.Since(start), time.Duration(0))
	})
}
