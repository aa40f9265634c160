package tracker

import (
	"net/netip"
	"slices"
	"time"

	"gentianstep.example/gentianstep/internal/platform/storer"
)

// HandleVMList takes in the platform's list of this system's own VMs. The list
// lags: it adds addresses to contact and tells who is leaving, and a VM that
// it lacks is not dead for that. A leaving row counts against the incarnation
// that was known when the row was first seen, not against a later one.
func (t *Tracker) HandleVMList(now time.Time, vms []storer.VM) Effects {
	var e Effects
	leavers := make(map[netip.AddrPort]uint64)
	t.listed = t.listed[:0]
	for _, vm := range vms {
		t.listed = append(t.listed, vm.Address)
		if vm.State == storer.Leaving {
			leavers[vm.Address] = t.handleLeaver(now, vm.Address, &e)
		}
	}
	t.leavers = leavers
	return e
}

// handleLeaver returns the incarnation that the row counts against, 0 as long
// as the member is unknown.
func (t *Tracker) handleLeaver(now time.Time, address netip.AddrPort, e *Effects) uint64 {
	if address == t.self.Address {
		e.SelfLeaving = true
		return t.self.Incarnation
	}
	rec, ok := t.records[address]
	if !ok {
		return t.leavers[address]
	}
	if seen := t.leavers[address]; seen != 0 {
		return seen
	}
	if rec.State == Alive || rec.State == Suspect {
		t.set(now, rec, leaving(rec.Member), e)
	}
	return rec.Incarnation
}

func leaving(m Member) Member {
	m.State = Leaving
	return m
}

// tickContacts pings an address that is not known to be alive, so that fresh
// members are found and separated groups meet again.
func (t *Tracker) tickContacts(now time.Time, e *Effects) {
	if now.Before(t.contactAt) {
		return
	}
	wait := contactPeriod
	if len(t.Members()) == 0 {
		wait = period
	}
	t.contactAt = now.Add(wait/2 + t.jitter(wait))
	to, ok := t.contact()
	if ok {
		e.send(to, t.message(Ping, to))
	}
}

// contact returns a random address from the settings, the platform's list or
// the dead that is not known to be alive.
func (t *Tracker) contact() (netip.AddrPort, bool) {
	var candidates []netip.AddrPort
	for _, address := range slices.Concat(t.seeds, t.listed, t.ring) {
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
