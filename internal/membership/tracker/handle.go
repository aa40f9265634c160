package tracker

import (
	"net/netip"
	"slices"
	"time"
)

// Handle takes in a message from a peer and answers it.
func (t *Tracker) Handle(now time.Time, m Message) (Effects, error) {
	var e Effects
	if err := m.Check(); err != nil {
		return e, err
	}
	if m.From.Address == t.self.Address {
		return e, invalid("a message from this controller's own address")
	}
	t.mergeAll(now, m, &e)
	switch m.Kind {
	case Ping:
		answer := t.message(Ack, m.From.Address)
		answer.Sequence = m.Sequence
		e.send(m.From.Address, answer)
	case Ack:
		t.handleAck(now, m, &e)
	case PingRequest:
		t.handlePingRequest(now, m, &e)
	case PageRequest:
		e.send(m.From.Address, t.page(m))
	case Page:
		t.handlePage(now, m)
	}
	return e, nil
}

// handleAck ends the ping it belongs to, one's own or one made for another.
func (t *Tracker) handleAck(now time.Time, m Message, e *Effects) {
	about := m.From.Address
	if m.Target.IsValid() {
		about = m.Target
	}
	if t.probe.sequence == m.Sequence && t.probe.target == about {
		t.probe.acked = true
		t.answered(about)
		return
	}
	i := slices.IndexFunc(t.relays, func(r relay) bool { return r.sequence == m.Sequence })
	if i < 0 || !now.Before(t.relays[i].until) {
		return
	}
	r := t.relays[i]
	t.relays = slices.Delete(t.relays, i, i+1)
	answer := t.message(Ack, r.requester)
	answer.Sequence = r.wanted
	answer.Target = about
	e.send(r.requester, answer)
}

// answered stops the silent countdown of a member that is leaving.
func (t *Tracker) answered(address netip.AddrPort) {
	rec, ok := t.records[address]
	if ok && rec.State == Leaving {
		rec.deadAt = time.Time{}
	}
}

func (t *Tracker) handlePingRequest(now time.Time, m Message, e *Effects) {
	t.relays = slices.DeleteFunc(t.relays, func(r relay) bool { return !now.Before(r.until) })
	if len(t.relays) >= maxRelays || m.Target == t.self.Address {
		return
	}
	ping := t.message(Ping, m.Target)
	t.relays = append(t.relays, relay{
		sequence:  ping.Sequence,
		requester: m.From.Address,
		wanted:    m.Sequence,
		until:     now.Add(period),
	})
	e.send(m.Target, ping)
}
