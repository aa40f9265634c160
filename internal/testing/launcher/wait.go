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

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// Until polls condition until it returns true. It fails the test after timeout;
// what describes the condition in the failure message.
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
			t.Fatalf("%s: condition not met within %s", what, timeout)
		}
	}
}

// Answers reports whether a GET request for url returns status 200.
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
	// firstPort is the lowest port that FreeAddress returns, and lastPort lies one
	// above the highest. Both are below the ephemeral port range, from which the
	// kernel assigns the ports of outgoing connections.
	firstPort = 10000
	lastPort  = 30000
)

// portCounter counts the ports that FreeAddress has tried in this process, so
// that successive calls return different ports.
var portCounter atomic.Uint32

// Host returns a loopback address derived from the process ID. Test processes that
// run at the same time thus use different addresses.
func Host() netip.Addr {
	id := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(64 + id>>16&63), byte(id >> 8), byte(id)})
}

// FreeAddress returns an address on Host with a port that no process listens on.
func FreeAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	for range lastPort - firstPort {
		port := firstPort + portCounter.Add(1)%(lastPort-firstPort)
		address := netip.AddrPortFrom(Host(), uint16(port))
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address.String())
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address
	}
	t.Fatal("find free address: all ports of the test range are in use")
	return netip.AddrPort{}
}
