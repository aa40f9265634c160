package tracker

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// probeInterval is the time between two probes that this controller sends.
	probeInterval = time.Second
	// ackTimeout is the time to wait for a direct Ack before indirect pings are
	// requested.
	ackTimeout = 400 * time.Millisecond
	// indirectProbes is the number of peers that receive a PingRequest for a member
	// that doesn't answer.
	indirectProbes = 3
	// suspicionFactor times the binary logarithm of the cluster size is the number
	// of probe intervals after which a suspect is declared dead.
	suspicionFactor = 1
	// deadRetention is how long the record of a dead member is kept.
	deadRetention = 10 * time.Minute
	// discoveryInterval is the mean time between two pings of addresses without a
	// known live member.
	discoveryInterval = 10 * time.Second
	// maxSyncInterval bounds the mean time between two syncs of the complete member
	// list from above.
	maxSyncInterval = 5 * time.Minute
	// minSyncInterval is the mean time to the next sync after one that added
	// members.
	minSyncInterval = 4 * time.Second
	// maxMembers is the maximum number of peers in a view, dead ones included.
	maxMembers = 4096
	// maxTickGap is the maximum time between two ticks. After a longer gap the
	// process is assumed to have been paused or the clock to have jumped.
	maxTickGap = 3 * time.Second
	// leaveFanout is the number of peers notified directly of a leave.
	leaveFanout = 8
)

// Config is the configuration of a Tracker.
type Config struct {
	// Self describes this controller. New sets its incarnation and state.
	Self Member
	// Seeds are the configured addresses of controllers for discovery.
	Seeds []netip.AddrPort
	// Seed seeds the random number generator. It should differ between members.
	Seed uint64
}

// Tracker is one controller's view of its peers. It is not safe for concurrent
// use.
type Tracker struct {
	self          Member
	bundleVersion uint64
	rng           *rand.Rand
	seeds         []netip.AddrPort
	// platformAddresses holds the addresses of the platform's VM list.
	platformAddresses []netip.AddrPort
	// leavingVMs holds the leaving rows of the platform's VM list with the
	// incarnation that each applies to, 0 if the member is not known yet.
	leavingVMs map[netip.AddrPort]uint64
	records    map[netip.AddrPort]*record
	// probeOrder holds the addresses of all records in random order. probeIndex is
	// the position of the next probe target.
	probeOrder []netip.AddrPort
	probeIndex int

	broadcasts    []*broadcast
	sequence      uint64
	probe         probe
	indirectPings []indirectPing
	listSync      listSync

	lastTickAt      time.Time
	nextProbeAt     time.Time
	nextDiscoveryAt time.Time
	// nextTimerAt is when the timers of the records are checked next, or zero if
	// none is running.
	nextTimerAt time.Time
}

// record is a known peer with its timers.
type record struct {
	Member
	// deadAt is when a suspect or leaving member is declared dead, or zero
	// while it answers probes.
	deadAt time.Time
	// removeAt is when the record of a dead member is removed, or zero.
	removeAt time.Time
}

// New returns a Tracker without peers. The incarnation is derived from now, so
// that a restarted controller supersedes its previous process.
func New(now time.Time, cfg Config) *Tracker {
	t := &Tracker{
		self:    cfg.Self,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 1)),
		seeds:   slices.Clone(cfg.Seeds),
		records: make(map[netip.AddrPort]*record),
	}
	t.self.State = Alive
	t.self.Incarnation = uint64(max(now.UnixMilli(), 1))
	t.lastTickAt = now
	t.nextProbeAt = now.Add(t.jitter(probeInterval))
	t.nextDiscoveryAt = now
	t.listSync.nextAt = now
	return t
}

// SetBundleVersion sets the bundle version sent in messages.
func (t *Tracker) SetBundleVersion(version uint64) { t.bundleVersion = version }

// Self returns this controller as sent to peers.
func (t *Tracker) Self() Member { return t.self }

// Members returns the peers that are not dead, sorted by address.
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

// Leave announces the shutdown of this controller to some peers. The state can't be
// reverted.
func (t *Tracker) Leave(time.Time) Effects {
	var e Effects
	if t.self.State == Leaving {
		return e
	}
	t.self.State = Leaving
	for _, to := range t.sampleAlive(leaveFanout, netip.AddrPort{}) {
		e.send(to, t.newMessage(Ping, to))
	}
	return e
}

// Tick runs the timers that are due: probes, timeouts of members, discovery and
// list syncs.
func (t *Tracker) Tick(now time.Time) Effects {
	var e Effects
	t.shiftTimersAfterGap(now)
	t.tickProbe(now, &e)
	t.tickMemberTimers(now, &e)
	t.tickDiscovery(now, &e)
	t.tickListSync(now, &e)
	return e
}

// NextDeadline returns the earliest time at which Tick has work to do.
func (t *Tracker) NextDeadline() time.Time {
	due := t.nextProbeAt
	for _, at := range []time.Time{t.probe.indirectAt, t.nextDiscoveryAt, t.listSync.nextAt, t.nextTimerAt} {
		if !at.IsZero() && at.Before(due) {
			due = at
		}
	}
	return due
}

// jitter returns a random duration in [0, d).
func (t *Tracker) jitter(d time.Duration) time.Duration {
	return time.Duration(t.rng.Int64N(int64(d)))
}

func byAddress(a, b Member) int { return a.Address.Compare(b.Address) }
