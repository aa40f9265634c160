package starter

import (
	"net/netip"
	"time"

	"gentianstep.example/gentianstep/internal/controlling/announcer"
	"gentianstep.example/gentianstep/internal/controlling/coordinator"
	"gentianstep.example/gentianstep/internal/controlling/lister"
	"gentianstep.example/gentianstep/internal/membership/tracker"
	"gentianstep.example/gentianstep/internal/peering/messenger"
	"gentianstep.example/gentianstep/internal/platform/storer"
)

// leavePropagationDelay is how long a stopping controller keeps running so that
// its announcement to leave reaches its peers.
const leavePropagationDelay = 500 * time.Millisecond

// newMembership creates the components that track the other controllers.
func (c *control) newMembership() {
	c.announcer = announcer.New(announcer.Config{
		Self: tracker.Member{
			Address:          c.settings.Controller.PeerAddress,
			Name:             c.settings.Node,
			Region:           c.settings.Region,
			AvailabilityZone: c.settings.AvailabilityZone,
		},
		Seeds:         otherControllerAddresses(c.settings),
		Seed:          nodeSeed(c.settings.Node),
		Peers:         c.peers,
		OnMembers:     c.setMembers,
		BundleVersion: c.bundles.Version,
		Log:           c.log,
	})
	c.lister = lister.New(lister.Config{VMs: c.store, MemberCount: c.peers.MemberCount, OnVMs: c.handleVMList, Log: c.log})
}

// setMembers updates the components that depend on the list of live controllers.
// The list of peers does not include this controller.
func (c *control) setMembers(peers []tracker.Member) {
	addresses := make(map[string]netip.AddrPort, len(peers))
	members := make([]coordinator.Member, 0, 1+len(peers))
	members = append(members, coordinator.Member{Node: c.settings.Node, Region: c.settings.Region})
	for _, m := range peers {
		addresses[m.Name] = m.Address
		members = append(members, coordinator.Member{Node: m.Name, Region: m.Region})
	}
	nodes := make([]string, 0, len(members))
	for _, m := range members {
		nodes = append(nodes, m.Node)
	}
	c.peers.SetMembers(addresses)
	c.collector.SetMembers(nodes)
	c.coordinator.SetMembers(members)
}

// handleVMList applies the platform's list of VMs. It contains the VMs of
// upstreams as well as those of this system.
func (c *control) handleVMList(vms []storer.VM) {
	own := c.excludeUpstreamVMs(vms)
	c.announcer.ReceiveVMList(own)
	names := make([]string, 0, len(own))
	for _, vm := range own {
		names = append(names, vm.Name)
	}
	c.collector.SetListedVMs(names)
	if current := c.bundles.Current(); current != nil {
		c.departures.handleVMList(current.Bundle, vms)
	}
}

// excludeUpstreamVMs returns the VMs whose address is not that of an upstream.
func (c *control) excludeUpstreamVMs(vms []storer.VM) []storer.VM {
	upstreams := make(map[netip.AddrPort]bool)
	if current := c.bundles.Current(); current != nil {
		for _, u := range current.Bundle.Upstreams {
			upstreams[u.Address] = true
		}
	}
	var own []storer.VM
	for _, vm := range vms {
		if !upstreams[vm.Address] {
			own = append(own, vm)
		}
	}
	return own
}

// discardReply is the reply function for messages on outbound connections. It
// sends nothing, because messages to a peer go through the connector group.
func discardReply(messenger.Message) bool { return false }
