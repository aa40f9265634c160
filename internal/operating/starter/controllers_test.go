package starter

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/operating/configurer"
)

func TestRoutersTurnToDifferentControllers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const vms = 9
	peers := make([]netip.AddrPort, 0, vms)
	for i := range vms {
		peers = append(peers, netip.MustParseAddrPort(fmt.Sprintf("192.0.2.%d:8082", i+1)))
	}
	seconds := make(map[netip.AddrPort]int)
	for i := range vms {
		var settings configurer.Settings
		settings.Node = fmt.Sprintf("vm-%d", i+1)
		settings.Controller.PeerAddress = peers[i]
		settings.Controller.Peers = peers
		order := controllers(&settings)
		is.Equal(order[0], peers[i]) // the own controller comes first
		is.Equal(len(order), vms)    // and each other one once
		seconds[order[1]]++
	}
	for _, n := range seconds {
		is.True(n <= 3) // no controller is the second choice of most VMs
	}
}
