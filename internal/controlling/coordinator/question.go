package coordinator

import (
	"time"

	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/peering/messenger"
)

// questionTimeout is how long the answers of other controllers are awaited.
const questionTimeout = time.Second

// question is a lookup of a router, which the owner of each region answers.
type question struct {
	id       uint64
	answer   func(messenger.Message) bool
	deadline time.Time
	// awaited counts the owners that have not answered.
	awaited int
}

// reply hands a part of the answer to who asked.
func (q *question) reply(holdings []indexer.Holding) {
	q.awaited--
	q.answer(messenger.Message{LookupReply: &messenger.LookupReply{
		ID:       q.id,
		Holdings: holdings,
		More:     q.awaited > 0,
	}})
}

// lookup answers from the own part of the index and asks the owner of each
// other region. A question that another controller passed on goes no further.
func (c *Coordinator) lookup(now time.Time, l lookup) {
	if l.passed {
		q := question{id: l.question.ID, answer: l.answer, awaited: 1}
		q.reply(c.find(now, l.question))
		return
	}
	owners := c.ownersOf(l.question)
	q := &question{
		id:       l.question.ID,
		answer:   l.answer,
		deadline: now.Add(questionTimeout),
		awaited:  len(owners),
	}
	var silent int
	for _, owner := range owners {
		if owner != c.cfg.Self.Node && !c.ask(owner, l.question, q) {
			silent++
		}
	}
	for _, owner := range owners {
		if owner == c.cfg.Self.Node {
			q.reply(c.find(now, l.question))
		}
	}
	for range silent {
		q.reply(nil)
	}
}

// ownersOf returns the owner of the question's family in each region.
func (c *Coordinator) ownersOf(l messenger.Lookup) []string {
	owners := make([]string, 0, len(c.regions))
	for _, region := range c.regions {
		if owner := region.Owner(l.Checkpoints[0]); owner != "" {
			owners = append(owners, owner)
		}
	}
	return owners
}

// ask passes a question on and reports whether it was queued.
func (c *Coordinator) ask(owner string, l messenger.Lookup, q *question) bool {
	c.nextID++
	passed := messenger.Lookup{ID: c.nextID, Checkpoints: l.Checkpoints}
	if !c.cfg.Peers.Send(owner, messenger.Message{Lookup: &passed}) {
		return false
	}
	c.asked[c.nextID] = q
	return true
}

// find looks the question up in the own part of the index.
func (c *Coordinator) find(now time.Time, l messenger.Lookup) []indexer.Holding {
	c.scratch = c.index.Lookup(now, l.Checkpoints, c.scratch[:0])
	return append([]indexer.Holding(nil), c.scratch...)
}

// replied hands an owner's answer to who asked.
func (c *Coordinator) replied(r messenger.LookupReply) {
	q, ok := c.asked[r.ID]
	if !ok {
		return
	}
	delete(c.asked, r.ID)
	q.reply(r.Holdings)
}

// expire forgets questions whose answers are overdue; who asked has gone on
// without them.
func (c *Coordinator) expire(now time.Time) {
	for id, q := range c.asked {
		if now.After(q.deadline) {
			delete(c.asked, id)
		}
	}
}
