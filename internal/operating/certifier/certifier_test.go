package certifier

import (
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/testing/issuer"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// handshake is a test case: the certificates of both ends, the CA that the
// client trusts and whether the handshake succeeds.
type handshake struct {
	Name     string `json:"name"`
	Server   string `json:"server"`
	Client   string `json:"client"`
	Trusts   string `json:"trusts"`
	Accepted bool   `json:"accepted"`
}

var loopback = netip.MustParseAddr("127.0.0.1")

func TestHandshakes(t *testing.T) {
	t.Parallel()
	var rows []handshake
	scripter.Read(t, "testdata/handshakes.json", &rows)
	dir := t.TempDir()
	ownCA, otherCA := issuer.New(t, dir, "own"), issuer.New(t, dir, "other")
	files := map[string]issuer.Files{
		"":          {},
		"own":       ownCA.Issue("own", loopback),
		"other":     otherCA.Issue("other", loopback),
		"elsewhere": ownCA.Issue("elsewhere", netip.MustParseAddr("192.0.2.9")),
	}
	authorities := map[string]string{"own": ownCA.File, "other": otherCA.File}
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server := newCertifier(t, files[row.Server], ownCA.File)
			client := newCertifier(t, files[row.Client], authorities[row.Trusts])
			is.Equal(connectAndRead(t, server, client) == nil, row.Accepted)
		})
	}
}

func newCertifier(t *testing.T, files issuer.Files, authority string) *Certifier {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	c, err := New(Config{
		CertificateFile: files.Certificate,
		KeyFile:         files.Key,
		CAFile:          authority,
		Log:             logrus.NewEntry(log),
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// connectAndRead connects client to server and reads one byte from the server.
// With TLS 1.3 a client learns only on reading that the server rejected its
// certificate.
func connectAndRead(t *testing.T, server, client *Certifier) error {
	t.Helper()
	plain, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := tls.NewListener(plain, server.ServerConfig())
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Write([]byte{1})
		_ = conn.Close()
	}()
	conn, err := client.DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_, err = io.ReadFull(conn, make([]byte, 1))
	return err
}

func TestReloadsChangedFiles(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	dir := t.TempDir()
	authority := issuer.New(t, dir, "own")
	files := authority.Issue("own", loopback)
	c := newCertifier(t, files, authority.File)
	now := time.Now()
	first := c.current(now).certificate
	is.Equal(c.current(now.Add(2*checkInterval)).certificate, first) // unchanged files are not reloaded
	authority.Issue("own", loopback)
	setModTimes(t, files, now.Add(time.Minute))
	second := c.current(now.Add(4 * checkInterval)).certificate
	is.True(second != first) // changed files are reloaded
	if err := os.WriteFile(files.Key, []byte("truncated file"), 0o600); err != nil {
		t.Fatal(err)
	}
	setModTimes(t, files, now.Add(2*time.Minute))
	is.Equal(c.current(now.Add(6*checkInterval)).certificate, second) // an invalid key file keeps the previous certificate in use
	is.NoErr(os.Remove(files.Certificate))
	is.Equal(c.current(now.Add(8*checkInterval)).certificate, second) // so does a missing certificate file
}

func setModTimes(t *testing.T, files issuer.Files, at time.Time) {
	t.Helper()
	for _, path := range []string{files.Certificate, files.Key} {
		if err := os.Chtimes(path, at, at); err != nil {
			t.Fatal(err)
		}
	}
}
