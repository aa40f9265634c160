package tracker

import (
	"net/netip"
	"slices"
	"time"
)

// maxRelays bounds the pings that are made for others.
const maxRelays = 64

// probe is the ping whose answer is awaited.
type probe struct {
	target   netip.AddrPort
	sequence uint64
	// message is the ping as it was sent.
	message Message
	// askAt is when other peers are asked; zero once they were.
	askAt time.Time
	acked bool
}

// relay is a ping made for another member.
type relay struct {
	sequence  uint64
	requester netip.AddrPort
	// wanted is the sequence number of the request.
	wanted uint64
	until  time.Time
}

// tickProbe ends the last ping and starts the next one.
func (t *Tracker) tickProbe(now time.Time, e *Effects) {
	if !t.probe.askAt.IsZero() && !now.Before(t.probe.askAt) {
		t.askPeers(e)
	}
	if now.Before(t.probeAt) {
		return
	}
	t.probeAt = now.Add(period)
	t.endProbe(now, e)
	target, ok := t.nextTarget()
	if !ok {
		return
	}
	m := t.message(Ping, target)
	t.probe = probe{target: target, sequence: m.Sequence, message: m, askAt: now.Add(ackTimeout)}
	e.send(target, m)
}

// askPeers pings a member that has not answered over a new connection and asks
// others to ping it as well.
func (t *Tracker) askPeers(e *Effects) {
	t.probe.askAt = time.Time{}
	if t.probe.acked {
		return
	}
	e.Sends = append(e.Sends, Send{To: t.probe.target, Message: t.probe.message, Anew: true})
	for _, peer := range t.sample(askedPeers, t.probe.target) {
		m := t.message(PingRequest, peer)
		m.Sequence = t.probe.sequence
		m.Target = t.probe.target
		e.send(peer, m)
	}
}

// endProbe suspects the member that nobody could reach. One that is leaving
// keeps its state and is declared dead after the same time.
func (t *Tracker) endProbe(now time.Time, e *Effects) {
	p := t.probe
	t.probe = probe{}
	rec, ok := t.records[p.target]
	if !ok || p.acked || rec.State == Dead {
		return
	}
	if rec.State == Leaving && rec.deadAt.IsZero() {
		rec.deadAt = now.Add(t.suspicion())
		t.watch(rec.deadAt)
	}
	if rec.State != Alive {
		return
	}
	m := rec.Member
	m.State = Suspect
	t.set(now, rec, m, e)
}

// tickDeaths declares suspects dead and forgets those long dead.
func (t *Tracker) tickDeaths(now time.Time, e *Effects) {
	if t.timersAt.IsZero() || now.Before(t.timersAt) {
		return
	}
	t.timersAt = time.Time{}
	for i := len(t.ring) - 1; i >= 0; i-- {
		rec := t.records[t.ring[i]]
		if !rec.deadAt.IsZero() && !now.Before(rec.deadAt) {
			m := rec.Member
			m.State = Dead
			t.set(now, rec, m, e)
		}
		if !rec.forgetAt.IsZero() && !now.Before(rec.forgetAt) {
			t.forget(rec.Address)
			continue
		}
		t.watch(rec.deadAt)
		t.watch(rec.forgetAt)
	}
}

// watch makes tickDeaths look at the records at the latest at that moment.
func (t *Tracker) watch(at time.Time) {
	if at.IsZero() {
		return
	}
	if t.timersAt.IsZero() || at.Before(t.timersAt) {
		t.timersAt = at
	}
}

func (t *Tracker) forget(address netip.AddrPort) {
	delete(t.records, address)
	i := slices.Index(t.ring, address)
	t.ring = slices.Delete(t.ring, i, i+1)
	if i < t.next {
		t.next--
	}
}

// nextTarget walks the ring, which is shuffled after each round.
func (t *Tracker) nextTarget() (netip.AddrPort, bool) {
	for range len(t.ring) {
		if t.next >= len(t.ring) {
			t.next = 0
			t.rng.Shuffle(len(t.ring), func(i, j int) { t.ring[i], t.ring[j] = t.ring[j], t.ring[i] })
		}
		address := t.ring[t.next]
		t.next++
		if t.records[address].State != Dead {
			return address, true
		}
	}
	return netip.AddrPort{}, false
}

// sample returns up to n members that are alive, other than one.
func (t *Tracker) sample(n int, other netip.AddrPort) []netip.AddrPort {
	var chosen []netip.AddrPort
	if len(t.ring) == 0 {
		return nil
	}
	first := t.rng.IntN(len(t.ring))
	for i := range t.ring {
		address := t.ring[(first+i)%len(t.ring)]
		if address == other || t.records[address].State != Alive {
			continue
		}
		chosen = append(chosen, address)
		if len(chosen) == n {
			break
		}
	}
	return chosen
}
