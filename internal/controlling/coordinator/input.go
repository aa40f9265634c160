package coordinator

import (
	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/peering/messenger"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

// inputQueueSize is the number of inputs that can be queued for Run.
const inputQueueSize = 4096

// input is an event for Run to handle. Exactly one of its fields is set.
type input struct {
	bundle  *checker.Bundle
	members []Member
	event   *cacheEvent
	// reports holds reports of upstreams that this controller reads.
	reports []observer.Report
	// updates holds changes of this controller's partition of the index.
	updates []indexer.Update
	lookup  *lookupRequest
	reply   *messenger.LookupReply
	// resyncPeer is the node name of a peer that may have missed index updates.
	resyncPeer string
	// status receives a snapshot of the state.
	status chan<- Status
}

// cacheEvent is an event of an upstream that this controller reads.
type cacheEvent struct {
	upstream string
	event    indexer.Event
}

// lookupRequest is a received lookup. reply sends a message to the requester.
type lookupRequest struct {
	lookup messenger.Lookup
	// forwarded is true if another controller forwarded the lookup. That controller
	// selected the owners from its view of the members, so the lookup is not
	// forwarded again.
	forwarded bool
	reply     func(messenger.Message) bool
}

// SetBundle queues a new bundle in force, whose engines are then distributed over the
// live controllers. It is dropped if the input queue is full.
func (c *Coordinator) SetBundle(b *checker.Bundle) { c.enqueue(input{bundle: b}) }

// SetMembers queues a new list of the live controllers. This controller is added if the
// list does not include it. The list is dropped if the input queue is full.
func (c *Coordinator) SetMembers(members []Member) { c.enqueue(input{members: members}) }

// ReceiveEvent queues a cache event of an upstream that this controller reads. It blocks
// while the input queue is full, since a dropped event would leave a gap in the
// sequence.
func (c *Coordinator) ReceiveEvent(upstream string, e indexer.Event) {
	c.inputs <- input{event: &cacheEvent{upstream: upstream, event: e}}
}

// ReceiveReports queues reports of upstreams that this controller reads. They are
// dropped if the input queue is full.
func (c *Coordinator) ReceiveReports(reports []observer.Report) { c.enqueue(input{reports: reports}) }

// ScheduleResync queues a resynchronisation of a peer to which messages may have been
// lost. It is dropped if the input queue is full.
func (c *Coordinator) ScheduleResync(node string) { c.enqueue(input{resyncPeer: node}) }

// ReceiveMessage processes a message received from a router or another controller.
// reply sends a message to the sender. Reports are broadcast to the connected routers
// directly; all other messages are queued, and dropped if the input queue is full.
func (c *Coordinator) ReceiveMessage(from messenger.Role, m messenger.Message, reply func(messenger.Message) bool) {
	switch {
	case m.IndexUpdates != nil:
		c.enqueue(input{updates: m.IndexUpdates.Updates})
	case m.Lookup != nil:
		c.enqueue(input{lookup: &lookupRequest{lookup: *m.Lookup, forwarded: from == messenger.Controller, reply: reply}})
	case m.LookupReply != nil:
		c.enqueue(input{reply: m.LookupReply})
	case m.Reports != nil:
		c.cfg.Routers.Broadcast(m)
	}
}

// enqueue queues an input. If the queue is full, the input is dropped and counted.
func (c *Coordinator) enqueue(in input) {
	select {
	case c.inputs <- in:
	default:
		c.dropped.Add(1)
	}
}
