package tracker

import (
	"net/netip"
	"slices"
	"time"
)

// maxIndirectPings is the maximum number of outstanding pings on behalf of other
// members.
const maxIndirectPings = 64

// probe is the outstanding ping of this controller.
type probe struct {
	target   netip.AddrPort
	sequence uint64
	// message is the ping as sent, for the retry over a new connection.
	message Message
	// indirectAt is when the probe is retried and indirect pings are requested, or
	// zero after that.
	indirectAt time.Time
	acked      bool
}

// indirectPing is an outstanding ping on behalf of another member.
type indirectPing struct {
	sequence  uint64
	requester netip.AddrPort
	// requestSequence is the sequence number of the PingRequest.
	requestSequence uint64
	expiresAt       time.Time
}

// tickProbe starts the indirect probe if the direct one timed out, and once per
// probe interval finishes the current probe and starts the next one.
func (t *Tracker) tickProbe(now time.Time, e *Effects) {
	if !t.probe.indirectAt.IsZero() && !now.Before(t.probe.indirectAt) {
		t.probeIndirectly(e)
	}
	if now.Before(t.nextProbeAt) {
		return
	}
	t.nextProbeAt = now.Add(probeInterval)
	t.finishProbe(now, e)
	target, ok := t.nextProbeTarget()
	if !ok {
		return
	}
	m := t.newMessage(Ping, target)
	t.probe = probe{target: target, sequence: m.Sequence, message: m, indirectAt: now.Add(ackTimeout)}
	e.send(target, m)
}

// probeIndirectly retries the probe of a member that has not answered over a new
// connection and requests indirect pings of it from other members.
func (t *Tracker) probeIndirectly(e *Effects) {
	t.probe.indirectAt = time.Time{}
	if t.probe.acked {
		return
	}
	e.Outgoing = append(e.Outgoing, OutgoingMessage{To: t.probe.target, Message: t.probe.message, NewConnection: true})
	for _, peer := range t.sampleAlive(indirectProbes, t.probe.target) {
		m := t.newMessage(PingRequest, peer)
		m.Sequence = t.probe.sequence
		m.Target = t.probe.target
		e.send(peer, m)
	}
}

// finishProbe marks the probed member as suspect if it answered neither the direct
// nor an indirect ping. A leaving member keeps its state and is declared dead after
// the same timeout as a suspect.
func (t *Tracker) finishProbe(now time.Time, e *Effects) {
	p := t.probe
	t.probe = probe{}
	rec, ok := t.records[p.target]
	if !ok || p.acked || rec.State == Dead {
		return
	}
	if rec.State == Leaving && rec.deadAt.IsZero() {
		rec.deadAt = now.Add(t.suspicionTimeout())
		t.scheduleTimer(rec.deadAt)
	}
	if rec.State != Alive {
		return
	}
	m := rec.Member
	m.State = Suspect
	t.updateMember(now, rec, m, e)
}

// tickMemberTimers declares members dead whose timeout has expired and removes
// dead members after deadRetention.
func (t *Tracker) tickMemberTimers(now time.Time, e *Effects) {
	if t.nextTimerAt.IsZero() || now.Before(t.nextTimerAt) {
		return
	}
	t.nextTimerAt = time.Time{}
	for i := len(t.probeOrder) - 1; i >= 0; i-- {
		rec := t.records[t.probeOrder[i]]
		if !rec.deadAt.IsZero() && !now.Before(rec.deadAt) {
			m := rec.Member
			m.State = Dead
			t.updateMember(now, rec, m, e)
		}
		if !rec.removeAt.IsZero() && !now.Before(rec.removeAt) {
			t.removeMember(rec.Address)
			continue
		}
		t.scheduleTimer(rec.deadAt)
		t.scheduleTimer(rec.removeAt)
	}
}

// scheduleTimer makes tickMemberTimers check the records at the given time or
// earlier. The zero time is ignored.
func (t *Tracker) scheduleTimer(at time.Time) {
	if at.IsZero() {
		return
	}
	if t.nextTimerAt.IsZero() || at.Before(t.nextTimerAt) {
		t.nextTimerAt = at
	}
}

func (t *Tracker) removeMember(address netip.AddrPort) {
	delete(t.records, address)
	i := slices.Index(t.probeOrder, address)
	t.probeOrder = slices.Delete(t.probeOrder, i, i+1)
	if i < t.probeIndex {
		t.probeIndex--
	}
}

// nextProbeTarget returns the next member of the probe order that is not dead. The
// order is shuffled after each round.
func (t *Tracker) nextProbeTarget() (netip.AddrPort, bool) {
	for range len(t.probeOrder) {
		if t.probeIndex >= len(t.probeOrder) {
			t.probeIndex = 0
			t.rng.Shuffle(len(t.probeOrder), func(i, j int) { t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i] })
		}
		address := t.probeOrder[t.probeIndex]
		t.probeIndex++
		if t.records[address].State != Dead {
			return address, true
		}
	}
	return netip.AddrPort{}, false
}

// sampleAlive returns up to n alive members other than the excluded one. They
// follow each other in the probe order from a random position.
func (t *Tracker) sampleAlive(n int, excluded netip.AddrPort) []netip.AddrPort {
	var sampled []netip.AddrPort
	if len(t.probeOrder) == 0 {
		return nil
	}
	start := t.rng.IntN(len(t.probeOrder))
	for i := range t.probeOrder {
		address := t.probeOrder[(start+i)%len(t.probeOrder)]
		if address == excluded || t.records[address].State != Alive {
			continue
		}
		sampled = append(sampled, address)
		if len(sampled) == n {
			break
		}
	}
	return sampled
}
