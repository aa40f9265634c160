package tracker

import (
	"net/netip"
	"slices"
	"time"
)

// listSync is the state of the anti-entropy sync, which reads the complete member
// list of a peer page by page.
type listSync struct {
	// nextAt is the time of the next request.
	nextAt time.Time
	// cursor is the last address read, or the zero address at the start of the
	// list.
	cursor netip.AddrPort
	peer   netip.AddrPort
	// interval is the mean time between two complete syncs. It doubles up to
	// maxSyncInterval as long as syncs add no members.
	interval time.Duration
	// lastCount is the number of known members after the last sync.
	lastCount int
}

// tickListSync requests the next page from a peer. If the previous request was not
// answered, it requests the same page from another peer.
func (t *Tracker) tickListSync(now time.Time, e *Effects) {
	if now.Before(t.listSync.nextAt) {
		return
	}
	t.listSync.nextAt = now.Add(probeInterval + t.jitter(probeInterval))
	peers := t.sampleAlive(1, t.listSync.peer)
	if len(peers) == 0 {
		peers = t.sampleAlive(1, netip.AddrPort{})
	}
	if len(peers) == 0 {
		return
	}
	t.listSync.peer = peers[0]
	m := t.newMessage(PageRequest, t.listSync.peer)
	m.Target = t.listSync.cursor
	e.send(t.listSync.peer, m)
}

// newPage returns a page of the members that follow the requested cursor.
func (t *Tracker) newPage(request Message) Message {
	members := slices.DeleteFunc(t.Members(), func(m Member) bool {
		return m.Address == request.From.Address || m.Address.Compare(request.Target) <= 0
	})
	reply := Message{Kind: Page, Sequence: request.Sequence, From: t.self, BundleVersion: t.bundleVersion}
	if len(members) > pageMembers {
		members = members[:pageMembers]
		reply.Target = members[pageMembers-1].Address
	}
	reply.Updates = members
	return reply
}

// handlePage advances the cursor. After the last page it schedules the next sync.
func (t *Tracker) handlePage(now time.Time, m Message) {
	if m.From.Address != t.listSync.peer {
		return
	}
	t.listSync.peer = netip.AddrPort{}
	t.listSync.cursor = m.Target
	if m.Target.IsValid() {
		return
	}
	t.listSync.interval = min(2*t.listSync.interval, maxSyncInterval)
	if len(t.records) > t.listSync.lastCount {
		t.listSync.interval = minSyncInterval
	}
	t.listSync.lastCount = len(t.records)
	t.listSync.nextAt = now.Add(t.listSync.interval/2 + t.jitter(t.listSync.interval))
}
