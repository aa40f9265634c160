package tracker

import (
	"math/bits"
	"net/netip"
	"slices"
)

// gossipFactor times the logarithm of the size is how often one member passes
// a change on.
const gossipFactor = 3

// rumour is a change that is still being passed on.
type rumour struct {
	address netip.AddrPort
	sent    int
}

func (t *Tracker) logSize() int { return bits.Len(uint(len(t.records) + 1)) }

// spread makes the member's present state a rumour.
func (t *Tracker) spread(address netip.AddrPort) {
	i := slices.IndexFunc(t.rumours, func(r *rumour) bool { return r.address == address })
	if i >= 0 {
		t.rumours[i].sent = 0
		return
	}
	t.rumours = append(t.rumours, &rumour{address: address})
}

// message returns a message to a peer with as much gossip as fits: first what
// the peer should object to, then the least often passed on.
func (t *Tracker) message(kind Kind, to netip.AddrPort) Message {
	t.sequence++
	m := Message{Kind: kind, Sequence: t.sequence, From: t.self, BundleVersion: t.bundle}
	if rec, ok := t.records[to]; ok && (rec.State == Suspect || rec.State == Dead) {
		m.Updates = append(m.Updates, rec.Member)
	}
	m.Updates = append(m.Updates, t.gossip(to, maxUpdates-len(m.Updates))...)
	return m
}

func (t *Tracker) gossip(to netip.AddrPort, limit int) []Member {
	slices.SortStableFunc(t.rumours, func(a, b *rumour) int { return a.sent - b.sent })
	var updates []Member
	for _, r := range t.rumours {
		if len(updates) == limit {
			break
		}
		rec, ok := t.records[r.address]
		if r.address == to || !ok {
			continue
		}
		r.sent++
		updates = append(updates, rec.Member)
	}
	most := gossipFactor * t.logSize()
	t.rumours = slices.DeleteFunc(t.rumours, func(r *rumour) bool { return r.sent >= most })
	return updates
}
