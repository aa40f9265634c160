package tracker

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// period is the time between two pings of one member.
	period = time.Second
	// ackTimeout is the wait for a direct answer before others are asked.
	ackTimeout = 400 * time.Millisecond
	// askedPeers is the number of peers asked to ping a silent member.
	askedPeers = 3
	// suspicionFactor times the logarithm of the size is the number of periods
	// that a suspect has for its objection.
	suspicionFactor = 1
	// forgetAfter is how long a dead member is remembered.
	forgetAfter = 10 * time.Minute
	// contactPeriod is the time between two pings of addresses that are not
	// known to be alive.
	contactPeriod = 10 * time.Second
	// pagePeriod is the time between two readings of a peer's whole list.
	pagePeriod = 5 * time.Minute
	// firstPageWait is that time after the first reading.
	firstPageWait = 4 * time.Second
	// maxMembers bounds what a tracker remembers.
	maxMembers = 4096
	// maxGap is the longest time between two ticks that is taken as real.
	maxGap = 3 * time.Second
	// leaveFanout is the number of peers told of a leave at once.
	leaveFanout = 8
)

// Config holds what a Tracker is built from.
type Config struct {
	// Self describes this controller; its incarnation and state are set by New.
	Self Member
	// Seeds are the first addresses to contact.
	Seeds []netip.AddrPort
	// Seed starts the random choices; members take different ones.
	Seed uint64
}

// Tracker is one controller's view of its peers. It is used by one goroutine
// at a time.
type Tracker struct {
	self   Member
	bundle uint64
	rng    *rand.Rand
	seeds  []netip.AddrPort
	listed []netip.AddrPort
	// leavers holds the leaving rows of the platform's list.
	leavers map[netip.AddrPort]uint64
	records map[netip.AddrPort]*record
	// ring holds the known addresses in random order; next is the place of the
	// next ping in it.
	ring []netip.AddrPort
	next int

	rumours  []*rumour
	sequence uint64
	probe    probe
	relays   []relay
	paging   paging

	tickedAt  time.Time
	probeAt   time.Time
	contactAt time.Time
	// timersAt is when the timers of the records are looked at next.
	timersAt time.Time
}

// record is a member with its timers.
type record struct {
	Member
	// deadAt is when the member is declared dead; zero while it answers.
	deadAt time.Time
	// forgetAt is when a dead member is forgotten.
	forgetAt time.Time
}

// New returns a Tracker that knows only itself. The incarnation is taken from
// now, so that a restart supersedes the process before it.
func New(now time.Time, cfg Config) *Tracker {
	t := &Tracker{
		self:    cfg.Self,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 1)),
		seeds:   slices.Clone(cfg.Seeds),
		records: make(map[netip.AddrPort]*record),
	}
	t.self.State = Alive
	t.self.Incarnation = uint64(max(now.UnixMilli(), 1))
	t.tickedAt = now
	t.probeAt = now.Add(t.jitter(period))
	t.contactAt = now
	t.paging.at = now
	return t
}

// SetBundleVersion sets the version that messages carry.
func (t *Tracker) SetBundleVersion(version uint64) { t.bundle = version }

// Self returns this controller as peers see it.
func (t *Tracker) Self() Member { return t.self }

// Members returns the peers that are not dead, in the order of their addresses.
func (t *Tracker) Members() []Member {
	var members []Member
	for _, rec := range t.records {
		if rec.State != Dead {
			members = append(members, rec.Member)
		}
	}
	slices.SortFunc(members, byAddress)
	return members
}

// Leave announces the shutdown of this controller. The state lasts for the
// life of the process.
func (t *Tracker) Leave(time.Time) Effects {
	var e Effects
	if t.self.State == Leaving {
		return e
	}
	t.self.State = Leaving
	for _, to := range t.sample(leaveFanout, netip.AddrPort{}) {
		e.send(to, t.message(Ping, to))
	}
	return e
}

// Tick does what is due: pings, suspicions, deaths and contacts.
func (t *Tracker) Tick(now time.Time) Effects {
	var e Effects
	t.absorbGap(now)
	t.tickProbe(now, &e)
	t.tickDeaths(now, &e)
	t.tickContacts(now, &e)
	t.tickPages(now, &e)
	return e
}

// NextDeadline returns when Tick is due next.
func (t *Tracker) NextDeadline() time.Time {
	due := t.probeAt
	for _, at := range []time.Time{t.probe.askAt, t.contactAt, t.paging.at, t.timersAt} {
		if !at.IsZero() && at.Before(due) {
			due = at
		}
	}
	return due
}

// jitter returns a random part of d.
func (t *Tracker) jitter(d time.Duration) time.Duration {
	return time.Duration(t.rng.Int64N(int64(d)))
}

func byAddress(a, b Member) int { return a.Address.Compare(b.Address) }
