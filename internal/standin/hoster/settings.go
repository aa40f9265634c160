package hoster

import (
	"net/netip"

	"gentianstep.example/gentianstep/internal/operating/configurer"
)

// Settings returns the settings of a VM of the plan, which trust bundles signed
// with key.
func (p Plan) Settings(vm VMPlan, key configurer.BundleKey) configurer.Settings {
	peers := make([]netip.AddrPort, 0, len(p.VMs))
	for _, peerVM := range p.VMs {
		peers = append(peers, peerVM.Peer)
	}
	return configurer.Settings{
		Deployment:       p.Workload,
		Node:             vm.Name,
		Region:           vm.Region,
		AvailabilityZone: vm.Region + "1",
		Router: configurer.RouterSettings{
			CallerAddress:   vm.Caller,
			OperatorAddress: vm.Operator,
		},
		Controller: configurer.ControllerSettings{
			PeerAddress:     vm.Peer,
			OperatorAddress: vm.Controller,
			Peers:           peers,
		},
		Platform: configurer.PlatformSettings{Address: p.Platform},
		Trust:    configurer.TrustSettings{BundleKeys: []configurer.BundleKey{key}, Threshold: 1},
		Log:      configurer.LogSettings{Format: "json", Level: "info"},
	}
}
