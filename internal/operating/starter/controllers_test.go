package starter

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/operating/configurer"
)

func TestControllerAddressesDistributeFailover(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const vms = 9
	peers := make([]netip.AddrPort, 0, vms)
	for i := range vms {
		peers = append(peers, netip.MustParseAddrPort(fmt.Sprintf("192.0.2.%d:8082", i+1)))
	}
	secondChoices := make(map[netip.AddrPort]int)
	for i := range vms {
		var settings configurer.Settings
		settings.Node = fmt.Sprintf("vm-%d", i+1)
		settings.Controller.PeerAddress = peers[i]
		settings.Controller.Peers = peers
		order := controllerAddresses(&settings)
		is.Equal(order[0], peers[i]) // the VM's own controller comes first
		is.Equal(len(order), vms)    // all controllers are listed
		secondChoices[order[1]]++
	}
	for _, n := range secondChoices {
		is.True(n <= 3) // failover is distributed over several controllers
	}
}
