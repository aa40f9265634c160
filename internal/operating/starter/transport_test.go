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
	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/testing/issuer"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

func TestOutgoingConnectionsAreEncrypted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	dir := t.TempDir()
	trusted, other := issuer.New(t, dir, "trusted"), issuer.New(t, dir, "other")
	files := trusted.Issue("upstream", netip.MustParseAddr("127.0.0.1"))
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
		name, caFile string
		served       bool
	}{
		{"trusted CA", trusted.File, true},
		{"other CA", other.File, false},
		{"no CA", "", false},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var settings configurer.Settings
			settings.TLS.Upstreams.CAFile = row.caFile
			settings.TLS.Platform.CAFile = row.caFile
			certificates, err := newCertifiers(&settings, newDiscardLog())
			is.NoErr(err)
			is.Equal(callSucceeds(t, newCaller(certificates.upstreams, nil, meter.New()), address), row.served)
			is.Equal(getSucceeds(t, newTransport(certificates.platform), address), row.served)
		})
	}
}

// callSucceeds reports whether a caller of upstreams gets a response with status
// 200 from address.
func callSucceeds(t *testing.T, c *caller.Caller, address netip.AddrPort) bool {
	t.Helper()
	deadline := time.Now().Add(operatorShutdownTimeout)
	response, err := c.Do(t.Context(), caller.Target{Name: "upstream", Address: address}, caller.Call{
		Method:            http.MethodPost,
		Path:              "/",
		FirstByteDeadline: deadline,
		IdleTimeout:       operatorShutdownTimeout,
	})
	if err != nil {
		return false
	}
	defer response.Discard()
	return response.Status == http.StatusOK
}

// getSucceeds reports whether a GET over transport gets a response with status
// 200 from address.
func getSucceeds(t *testing.T, transport http.RoundTripper, address netip.AddrPort) bool {
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
