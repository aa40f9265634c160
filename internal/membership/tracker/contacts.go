package tracker

import (
	"net/netip"
	"slices"
	"time"

	"gentianstep.example/gentianstep/internal/platform/storer"
)

// HandleVMList processes the platform's list of this system's own VMs. The list
// is only eventually consistent: it adds addresses for discovery and marks members
// as leaving, but a VM missing from it is not declared dead. A leaving row applies
// only to the incarnation known when the row was first seen, so that a VM that
// restarts while the row persists is not marked again.
func (t *Tracker) HandleVMList(now time.Time, vms []storer.VM) Effects {
	var e Effects
	leavingVMs := make(map[netip.AddrPort]uint64)
	t.platformAddresses = t.platformAddresses[:0]
	for _, vm := range vms {
		t.platformAddresses = append(t.platformAddresses, vm.Address)
		if vm.State == storer.Leaving {
			leavingVMs[vm.Address] = t.markLeaving(now, vm.Address, &e)
		}
	}
	t.leavingVMs = leavingVMs
	return e
}

// markLeaving marks the member at address as leaving unless its row was applied
// before. It returns the incarnation that the row applies to, or 0 if the member
// is not known yet.
func (t *Tracker) markLeaving(now time.Time, address netip.AddrPort, e *Effects) uint64 {
	if address == t.self.Address {
		e.SelfLeaving = true
		return t.self.Incarnation
	}
	rec, ok := t.records[address]
	if !ok {
		return t.leavingVMs[address]
	}
	if incarnation := t.leavingVMs[address]; incarnation != 0 {
		return incarnation
	}
	if rec.State == Alive || rec.State == Suspect {
		t.updateMember(now, rec, withLeavingState(rec.Member), e)
	}
	return rec.Incarnation
}

func withLeavingState(m Member) Member {
	m.State = Leaving
	return m
}

// tickDiscovery pings an address without a known live member, so that new members
// are discovered and partitions merge after the network heals.
func (t *Tracker) tickDiscovery(now time.Time, e *Effects) {
	if now.Before(t.nextDiscoveryAt) {
		return
	}
	interval := discoveryInterval
	if len(t.Members()) == 0 {
		interval = probeInterval
	}
	t.nextDiscoveryAt = now.Add(interval/2 + t.jitter(interval))
	to, ok := t.discoveryTarget()
	if ok {
		e.send(to, t.newMessage(Ping, to))
	}
}

// discoveryTarget returns a random address of a seed, a VM on the platform's list
// or a dead member. Addresses of members that are not dead are left out.
func (t *Tracker) discoveryTarget() (netip.AddrPort, bool) {
	var candidates []netip.AddrPort
	for _, address := range slices.Concat(t.seeds, t.platformAddresses, t.probeOrder) {
		rec, known := t.records[address]
		if address == t.self.Address || known && rec.State != Dead {
			continue
		}
		candidates = append(candidates, address)
	}
	if len(candidates) == 0 {
		return netip.AddrPort{}, false
	}
	return candidates[t.rng.IntN(len(candidates))], true
}
