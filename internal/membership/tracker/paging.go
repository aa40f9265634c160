package tracker

import (
	"net/netip"
	"slices"
	"time"
)

// paging is the reading of a peer's whole list, page by page.
type paging struct {
	// at is when the next request is due.
	at time.Time
	// after is the place in the list; the zero address is its start.
	after netip.AddrPort
	peer  netip.AddrPort
	// wait is the time between two readings. It doubles up to pagePeriod while
	// readings bring nothing new.
	wait time.Duration
	// known is the number of members that were known after the last reading.
	known int
}

// tickPages asks a peer for the next page. Without an answer the same page is
// asked of another peer.
func (t *Tracker) tickPages(now time.Time, e *Effects) {
	if now.Before(t.paging.at) {
		return
	}
	t.paging.at = now.Add(period + t.jitter(period))
	peers := t.sample(1, t.paging.peer)
	if len(peers) == 0 {
		peers = t.sample(1, netip.AddrPort{})
	}
	if len(peers) == 0 {
		return
	}
	t.paging.peer = peers[0]
	m := t.message(PageRequest, t.paging.peer)
	m.Target = t.paging.after
	e.send(t.paging.peer, m)
}

// page returns the members that follow the place asked for.
func (t *Tracker) page(request Message) Message {
	members := slices.DeleteFunc(t.Members(), func(m Member) bool {
		return m.Address == request.From.Address || m.Address.Compare(request.Target) <= 0
	})
	answer := Message{Kind: Page, Sequence: request.Sequence, From: t.self, BundleVersion: t.bundle}
	if len(members) > pageMembers {
		members = members[:pageMembers]
		answer.Target = members[pageMembers-1].Address
	}
	answer.Updates = members
	return answer
}

// handlePage notes the place reached; the last page ends the reading.
func (t *Tracker) handlePage(now time.Time, m Message) {
	if m.From.Address != t.paging.peer {
		return
	}
	t.paging.peer = netip.AddrPort{}
	t.paging.after = m.Target
	if m.Target.IsValid() {
		return
	}
	t.paging.wait = min(2*t.paging.wait, pagePeriod)
	if len(t.records) > t.paging.known {
		t.paging.wait = firstPageWait
	}
	t.paging.known = len(t.records)
	t.paging.at = now.Add(t.paging.wait/2 + t.jitter(t.paging.wait))
}
