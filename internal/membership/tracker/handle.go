package tracker

import (
	"net/netip"
	"slices"
	"time"
)

// HandleMessage merges a message from a peer into the view and returns the
// resulting effects, such as the reply. It returns an error for an invalid message.
func (t *Tracker) HandleMessage(now time.Time, m Message) (Effects, error) {
	var e Effects
	if err := m.Check(); err != nil {
		return e, err
	}
	if m.From.Address == t.self.Address {
		return e, invalid("sender address is this controller's own")
	}
	t.mergeMessage(now, m, &e)
	switch m.Kind {
	case Ping:
		reply := t.newMessage(Ack, m.From.Address)
		reply.Sequence = m.Sequence
		e.send(m.From.Address, reply)
	case Ack:
		t.handleAck(now, m, &e)
	case PingRequest:
		t.handlePingRequest(now, m, &e)
	case PageRequest:
		e.send(m.From.Address, t.newPage(m))
	case Page:
		t.handlePage(now, m)
	}
	return e, nil
}

// handleAck completes the outstanding probe, or forwards the ack of an indirect
// ping to the member that requested it.
func (t *Tracker) handleAck(now time.Time, m Message, e *Effects) {
	subject := m.From.Address
	if m.Target.IsValid() {
		subject = m.Target
	}
	if t.probe.sequence == m.Sequence && t.probe.target == subject {
		t.probe.acked = true
		t.clearLeavingTimeout(subject)
		return
	}
	i := slices.IndexFunc(t.indirectPings, func(p indirectPing) bool { return p.sequence == m.Sequence })
	if i < 0 || !now.Before(t.indirectPings[i].expiresAt) {
		return
	}
	p := t.indirectPings[i]
	t.indirectPings = slices.Delete(t.indirectPings, i, i+1)
	reply := t.newMessage(Ack, p.requester)
	reply.Sequence = p.requestSequence
	reply.Target = subject
	e.send(p.requester, reply)
}

// clearLeavingTimeout cancels the timeout after which a leaving member that does
// not answer is declared dead.
func (t *Tracker) clearLeavingTimeout(address netip.AddrPort) {
	rec, ok := t.records[address]
	if ok && rec.State == Leaving {
		rec.deadAt = time.Time{}
	}
}

// handlePingRequest pings the target on behalf of the requester. The request is
// dropped if too many indirect pings are outstanding or this controller is the
// target.
func (t *Tracker) handlePingRequest(now time.Time, m Message, e *Effects) {
	t.indirectPings = slices.DeleteFunc(t.indirectPings, func(p indirectPing) bool { return !now.Before(p.expiresAt) })
	if len(t.indirectPings) >= maxIndirectPings || m.Target == t.self.Address {
		return
	}
	ping := t.newMessage(Ping, m.Target)
	t.indirectPings = append(t.indirectPings, indirectPing{
		sequence:        ping.Sequence,
		requester:       m.From.Address,
		requestSequence: m.Sequence,
		expiresAt:       now.Add(probeInterval),
	})
	e.send(m.Target, ping)
}
