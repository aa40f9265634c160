package coordinator

import (
	"time"

	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/peering/messenger"
)

// lookupTimeout is the maximum time to wait for the replies of other controllers.
const lookupTimeout = time.Second

// pendingLookup is a lookup of a router that waits for the owners' replies. The owner of
// the prefix family in each region replies with the holdings of that region.
type pendingLookup struct {
	// id is the ID that the router gave to the lookup.
	id       uint64
	send     func(messenger.Message) bool
	deadline time.Time
	// outstanding is the number of owners that have not replied.
	outstanding int
}

// reply sends the holdings found by one owner to the requester. The reply of the last
// owner is marked as final.
func (p *pendingLookup) reply(holdings []indexer.Holding) {
	p.outstanding--
	p.send(messenger.Message{LookupReply: &messenger.LookupReply{
		ID:       p.id,
		Holdings: holdings,
		More:     p.outstanding > 0,
	}})
}

// handleLookup sends a lookup of a router to the owner in each region; if this
// controller is an owner, it looks in its own partition. A lookup forwarded by another
// controller is answered from the own partition only. Owners that cannot be reached
// count as having no holdings, so that the reply completes without them.
func (c *Coordinator) handleLookup(now time.Time, r lookupRequest) {
	if r.forwarded {
		p := pendingLookup{id: r.lookup.ID, send: r.reply, outstanding: 1}
		p.reply(c.findHoldings(now, r.lookup))
		return
	}
	owners := c.familyOwners(r.lookup)
	p := &pendingLookup{
		id:          r.lookup.ID,
		send:        r.reply,
		deadline:    now.Add(lookupTimeout),
		outstanding: len(owners),
	}
	var unreachable int
	for _, owner := range owners {
		if owner != c.cfg.Self.Node && !c.forwardLookup(owner, r.lookup, p) {
			unreachable++
		}
	}
	for _, owner := range owners {
		if owner == c.cfg.Self.Node {
			p.reply(c.findHoldings(now, r.lookup))
		}
	}
	for range unreachable {
		p.reply(nil)
	}
}

// familyOwners returns the owner of the lookup's prefix family in each region. The
// first checkpoint identifies the family.
func (c *Coordinator) familyOwners(l messenger.Lookup) []string {
	owners := make([]string, 0, len(c.regionOwners))
	for _, partitions := range c.regionOwners {
		if owner := partitions.Owner(l.Checkpoints[0]); owner != "" {
			owners = append(owners, owner)
		}
	}
	return owners
}

// forwardLookup sends a lookup to an owner under a new ID, by which the reply is matched
// to p. It reports whether the message was queued.
func (c *Coordinator) forwardLookup(owner string, l messenger.Lookup, p *pendingLookup) bool {
	c.nextID++
	forwarded := messenger.Lookup{ID: c.nextID, Checkpoints: l.Checkpoints}
	if !c.cfg.Peers.Send(owner, messenger.Message{Lookup: &forwarded}) {
		return false
	}
	c.pending[c.nextID] = p
	return true
}

// findHoldings returns the holdings in this controller's partition of the index.
func (c *Coordinator) findHoldings(now time.Time, l messenger.Lookup) []indexer.Holding {
	c.scratch = c.index.Lookup(now, l.Checkpoints, c.scratch[:0])
	return append([]indexer.Holding(nil), c.scratch...)
}

// handleReply sends an owner's reply to the requester of the pending lookup. Replies
// to unknown or expired lookups are ignored.
func (c *Coordinator) handleReply(r messenger.LookupReply) {
	p, ok := c.pending[r.ID]
	if !ok {
		return
	}
	delete(c.pending, r.ID)
	p.reply(r.Holdings)
}

// expireLookups discards the pending lookups whose deadline has passed. The requester
// has continued without the outstanding replies by then.
func (c *Coordinator) expireLookups(now time.Time) {
	for id, p := range c.pending {
		if now.After(p.deadline) {
			delete(c.pending, id)
		}
	}
}
