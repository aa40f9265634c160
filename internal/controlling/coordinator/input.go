package coordinator

import (
	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/peering/messenger"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

// inputLimit bounds the inputs that wait for the coordinator.
const inputLimit = 4096

// input is one thing that happened; exactly one of its fields is set.
type input struct {
	bundle  *checker.Bundle
	members []Member
	event   *cacheEvent
	reports []observer.Report
	updates []indexer.Update
	lookup  *lookup
	reply   *messenger.LookupReply
	lost    string
	inspect chan<- Status
}

// cacheEvent is an event of an upstream that this controller reads.
type cacheEvent struct {
	upstream string
	event    indexer.Event
}

// lookup is a question with the way back to who asked.
type lookup struct {
	question messenger.Lookup
	// passed is true where another controller asks; its view of the members
	// decided, and the question goes no further.
	passed bool
	answer func(messenger.Message) bool
}

// Bundle tells of the bundle in force.
func (c *Coordinator) Bundle(b *checker.Bundle) { c.put(input{bundle: b}) }

// Members tells of the live controllers, this one among them.
func (c *Coordinator) Members(members []Member) { c.put(input{members: members}) }

// Event tells of a cache event of an upstream that this controller reads. It
// waits while the coordinator is busy.
func (c *Coordinator) Event(upstream string, e indexer.Event) {
	c.inputs <- input{event: &cacheEvent{upstream: upstream, event: e}}
}

// Reports tells of the reports of upstreams that this controller reads.
func (c *Coordinator) Reports(reports []observer.Report) { c.put(input{reports: reports}) }

// Lost tells that messages to a peer may have been lost.
func (c *Coordinator) Lost(node string) { c.put(input{lost: node}) }

// Message takes a message of a router or of another controller; answer sends
// one back.
func (c *Coordinator) Message(from messenger.Role, m messenger.Message, answer func(messenger.Message) bool) {
	switch {
	case m.IndexUpdates != nil:
		c.put(input{updates: m.IndexUpdates.Updates})
	case m.Lookup != nil:
		c.put(input{lookup: &lookup{question: *m.Lookup, passed: from == messenger.Controller, answer: answer}})
	case m.LookupReply != nil:
		c.put(input{reply: m.LookupReply})
	case m.Reports != nil:
		c.cfg.Routers.Broadcast(m)
	}
}

// put queues an input and drops it where the coordinator is too far behind.
func (c *Coordinator) put(in input) {
	select {
	case c.inputs <- in:
	default:
		c.dropped.Add(1)
	}
}
