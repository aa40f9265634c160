package tracker

import (
	"math/bits"
	"net/netip"
	"slices"
)

// retransmitFactor times the binary logarithm of the cluster size is the number of
// times a member sends each change.
const retransmitFactor = 3

// broadcast is a member whose latest state still has to be gossiped.
type broadcast struct {
	address       netip.AddrPort
	transmissions int
}

// log2Size returns the bit length of the cluster size, about its binary logarithm.
func (t *Tracker) log2Size() int { return bits.Len(uint(len(t.records) + 1)) }

// queueBroadcast queues the current state of a member for gossip. A member that is
// queued already starts over with its number of transmissions.
func (t *Tracker) queueBroadcast(address netip.AddrPort) {
	i := slices.IndexFunc(t.broadcasts, func(b *broadcast) bool { return b.address == address })
	if i >= 0 {
		t.broadcasts[i].transmissions = 0
		return
	}
	t.broadcasts = append(t.broadcasts, &broadcast{address: address})
}

// newMessage returns a message to a peer that piggybacks up to maxUpdates members:
// first the peer itself if it is suspect or dead here, so that it can refute that,
// then the changes with the fewest transmissions.
func (t *Tracker) newMessage(kind Kind, to netip.AddrPort) Message {
	t.sequence++
	m := Message{Kind: kind, Sequence: t.sequence, From: t.self, BundleVersion: t.bundleVersion}
	if rec, ok := t.records[to]; ok && (rec.State == Suspect || rec.State == Dead) {
		m.Updates = append(m.Updates, rec.Member)
	}
	m.Updates = append(m.Updates, t.nextUpdates(to, maxUpdates-len(m.Updates))...)
	return m
}

// nextUpdates returns up to limit queued changes, those with the fewest
// transmissions first, and drops the changes that were sent often enough.
func (t *Tracker) nextUpdates(to netip.AddrPort, limit int) []Member {
	slices.SortStableFunc(t.broadcasts, func(a, b *broadcast) int { return a.transmissions - b.transmissions })
	var updates []Member
	for _, b := range t.broadcasts {
		if len(updates) == limit {
			break
		}
		rec, ok := t.records[b.address]
		if b.address == to || !ok {
			continue
		}
		b.transmissions++
		updates = append(updates, rec.Member)
	}
	maxTransmissions := retransmitFactor * t.log2Size()
	t.broadcasts = slices.DeleteFunc(t.broadcasts, func(b *broadcast) bool { return b.transmissions >= maxTransmissions })
	return updates
}
