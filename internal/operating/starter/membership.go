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

// leaveDelay is how long a stopping controller goes on, so that its peers
// hear that it leaves.
const leaveDelay = 500 * time.Millisecond

// newMembership adds the parts that follow which controllers are there.
func (c *control) newMembership() {
	c.announce = announcer.New(announcer.Config{
		Self: tracker.Member{
			Address:          c.settings.Controller.PeerAddress,
			Name:             c.settings.Node,
			Region:           c.settings.Region,
			AvailabilityZone: c.settings.AvailabilityZone,
		},
		Seeds:         otherControllers(c.settings),
		Seed:          seedOf(c.settings.Node),
		Peers:         c.peers,
		OnMembers:     c.members,
		BundleVersion: c.bundles.Version,
		Log:           c.log,
	})
	c.list = lister.New(lister.Config{VMs: c.store, MemberCount: c.peers.MemberCount, OnVMs: c.vms, Log: c.log})
}

// members hands the live controllers to those who use them.
func (c *control) members(peers []tracker.Member) {
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
	c.collect.SetMembers(nodes)
	c.coordinator.SetMembers(members)
}

// vms takes the platform's list, which has the VMs of upstreams as well.
func (c *control) vms(vms []storer.VM) {
	own := c.ownVMs(vms)
	c.announce.ReceiveVMList(own)
	c.collect.SetListedVMs(len(own))
	if current := c.bundles.Current(); current != nil {
		c.depart.vms(current.Bundle, vms)
	}
}

// ownVMs leaves out the rows of upstreams.
func (c *control) ownVMs(vms []storer.VM) []storer.VM {
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

// noAnswer is the way back on a connection that this controller opened: what
// is sent there goes through the group of peers.
func noAnswer(messenger.Message) bool { return false }
