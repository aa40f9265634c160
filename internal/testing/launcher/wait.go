package launcher

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"
)

// pollInterval is the wait between two looks at a condition.
const pollInterval = 20 * time.Millisecond

// Until polls condition until it holds and fails the test after timeout.
func Until(t testing.TB, timeout time.Duration, what string, condition func() bool) {
	t.Helper()
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-deadline.C:
			t.Fatalf("%s: not within %s", what, timeout)
		}
	}
}

// Answers reports whether a GET of url answers with status 200.
func Answers(ctx context.Context, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// FreeAddress returns a loopback address that nothing listens on.
func FreeAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return netip.MustParseAddrPort(listener.Addr().String())
}
