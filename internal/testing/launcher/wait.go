package launcher

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
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

const (
	// firstPort is the first port that tests use. It lies below the ports
	// that outgoing connections take.
	firstPort = 10000
	lastPort  = 30000
)

// ports counts the ports that this process gave out.
var ports atomic.Uint32

// Host returns a loopback address that no other running test process uses: it
// is made from the process id.
func Host() netip.Addr {
	id := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(64 + id>>16&63), byte(id >> 8), byte(id)})
}

// FreeAddress returns a loopback address that nothing listens on.
func FreeAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	for range lastPort - firstPort {
		port := firstPort + ports.Add(1)%(lastPort-firstPort)
		address := netip.AddrPortFrom(Host(), uint16(port))
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address.String())
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address
	}
	t.Fatal("no free address")
	return netip.AddrPort{}
}
