package soaker

import (
	"net/netip"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// TestSoaksOfOneProcessTakeDifferentPorts has soaks take addresses in turn. The metrics of a
// gateway are at the port after its internal one.
func TestSoaksOfOneProcessTakeDifferentPorts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var mu sync.Mutex
	var taken []netip.AddrPort
	var soaks sync.WaitGroup
	start := make(chan struct{})
	for range 8 {
		soaks.Go(func() {
			<-start
			for range 500 {
				single := nextAddress()
				internal, metrics := nextAddresses()
				mu.Lock()
				taken = append(taken, single, internal, metrics)
				mu.Unlock()
				if metrics.Port() != internal.Port()+1 {
					t.Errorf("metrics: got port %d, want the one after %d", metrics.Port(), internal.Port())
				}
			}
		})
	}
	close(start)
	soaks.Wait()
	seen := make(map[netip.AddrPort]bool)
	for _, address := range taken {
		is.True(!seen[address]) // no two listen at one address
		seen[address] = true
	}
}
