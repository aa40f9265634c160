package starter

import (
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/testing/issuer"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

func TestOutgoingConnectionsAreEncrypted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	dir := t.TempDir()
	own, other := issuer.New(t, dir, "own"), issuer.New(t, dir, "other")
	files := own.Issue("upstream", netip.MustParseAddr("127.0.0.1"))
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	is.NoErr(err)
	upstream := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "served")
	}))
	upstream.TLS = &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}
	upstream.StartTLS()
	t.Cleanup(upstream.Close)
	address := netip.MustParseAddrPort(upstream.Listener.Addr().String())
	for _, row := range []struct {
		name, authority string
		served          bool
	}{
		{"own authority", own.File, true},
		{"other authority", other.File, false},
		{"no authority", "", false},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var settings configurer.Settings
			settings.TLS.Upstreams.CAFile = row.authority
			settings.TLS.Platform.CAFile = row.authority
			certificates, err := newCertifiers(&settings, silentLog())
			is.NoErr(err)
			is.Equal(calls(t, newCaller(certificates.upstreams), address), row.served)
			is.Equal(gets(t, newTransport(certificates.platform), address), row.served)
		})
	}
}

// calls reports whether the caller of upstreams gets an answer from address.
func calls(t *testing.T, c *caller.Caller, address netip.AddrPort) bool {
	t.Helper()
	deadline := time.Now().Add(operatorsTimeout)
	answer, err := c.Do(t.Context(), caller.Target{Name: "upstream", Address: address}, caller.Call{
		Method:            http.MethodPost,
		Path:              "/",
		FirstByteDeadline: deadline,
		IdleTimeout:       operatorsTimeout,
	})
	if err != nil {
		return false
	}
	defer answer.Discard()
	return answer.Status == http.StatusOK
}

// gets reports whether a client of the platform gets an answer from address.
func gets(t *testing.T, transport http.RoundTripper, address netip.AddrPort) bool {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address.String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}
