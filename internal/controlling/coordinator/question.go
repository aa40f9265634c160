package coordinator

import (
	"time"

	"gentianstep.example/gentianstep/internal/peering/messenger"
)

// questionTimeout is how long an answer of another controller is awaited.
const questionTimeout = time.Second

// question is a lookup that was passed on to the owner of its family.
type question struct {
	id       uint64
	answer   func(messenger.Message) bool
	deadline time.Time
}

// lookup answers from the own part of the index, or passes the question on.
func (c *Coordinator) lookup(now time.Time, l lookup) {
	owner := c.owners.Owner(l.question.Checkpoints[0])
	if l.passed || owner == c.cfg.Self.Node || owner == "" {
		c.answer(now, l)
		return
	}
	c.nextID++
	passed := messenger.Lookup{ID: c.nextID, Checkpoints: l.question.Checkpoints}
	if !c.cfg.Peers.Send(owner, messenger.Message{Lookup: &passed}) {
		l.answer(messenger.Message{LookupReply: &messenger.LookupReply{ID: l.question.ID}})
		return
	}
	c.asked[c.nextID] = question{id: l.question.ID, answer: l.answer, deadline: now.Add(questionTimeout)}
}

func (c *Coordinator) answer(now time.Time, l lookup) {
	c.scratch = c.index.Lookup(now, l.question.Checkpoints, c.scratch[:0])
	reply := messenger.LookupReply{ID: l.question.ID}
	reply.Holdings = append(reply.Holdings, c.scratch...)
	l.answer(messenger.Message{LookupReply: &reply})
}

// reply hands the owner's answer to who asked.
func (c *Coordinator) reply(r messenger.LookupReply) {
	q, ok := c.asked[r.ID]
	if !ok {
		return
	}
	delete(c.asked, r.ID)
	r.ID = q.id
	q.answer(messenger.Message{LookupReply: &r})
}

// expire forgets questions whose answer is overdue; who asked has gone on
// without it.
func (c *Coordinator) expire(now time.Time) {
	for id, q := range c.asked {
		if now.After(q.deadline) {
			delete(c.asked, id)
		}
	}
}
