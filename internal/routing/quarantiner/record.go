package quarantiner

import (
	"slices"
	"time"
)

// answer is the latest complete response to a request with a fingerprint.
type answer struct {
	at      time.Time
	weights uint64
}

// refutes reports whether the answer shows that a crash had another cause: a request with
// the same fingerprint was answered later, on the same weights or newer ones.
func (a answer) refutes(c crash) bool { return !a.at.Before(c.at) && a.weights >= c.weights }

// crash is a Crash of one fingerprint.
type crash struct {
	process Process
	weights uint64
	sentAt  time.Time
	at      time.Time
	// end is that of the process.
	end *end
}

// record holds the crashes that count against a fingerprint.
type record struct {
	// crashes are sorted by their times.
	crashes []crash
	// inherited is the number of strikes that another ledger has counted, the last one at
	// inheritedAt.
	inherited   int
	inheritedAt time.Time
	// lastAt is when the last crash was, also one that is no longer kept.
	lastAt time.Time
	// suspectAt is when the record became that of a suspect, quarantinedAt when it was
	// quarantined; zero if it is not.
	suspectAt     time.Time
	quarantinedAt time.Time
	// usedAt is when a VM last reported a request with the fingerprint.
	usedAt time.Time
	trials trialPlan
}

// strikes returns the number of crashes of which each was under a request that was sent
// after the one before. Crashes under requests that were under way at the same time count once, since
// all upstreams may end at once.
func (r *record) strikes() int { return r.inherited + len(chain(r.crashes, follows)) }

// spread returns the number of crashes of which each was spreadInterval after the one
// before, whenever their requests were sent. Upstreams that end at once count once.
func (r *record) spread() int { return len(chain(r.crashes, isApart)) }

// follows reports whether the request of a crash was sent after another crash.
func follows(c, last crash) bool { return !c.sentAt.Before(last.at) }

// isApart reports whether a crash was long enough after another one to have a cause of its
// own.
func isApart(c, last crash) bool { return c.at.Sub(last.at) >= spreadInterval }

// chain returns the indices of the longest chain of crashes, sorted by their times, each of
// which counts after the one before.
func chain(crashes []crash, counts func(c, last crash) bool) []int {
	var list []int
	for i, c := range crashes {
		if n := len(list); n == 0 || counts(c, crashes[list[n-1]]) {
			list = append(list, i)
		}
	}
	return list
}

// isSuspect reports whether VMs are to be asked for answers.
func (r *record) isSuspect() bool {
	return r.strikes() >= suspectStrikes || r.spread() >= suspectSpread
}

// isGuilty reports whether the crashes suffice for a quarantine.
func (r *record) isGuilty() bool {
	return r.strikes() >= quarantineStrikes || r.spread() >= quarantineSpread
}

// add adds a crash. Beyond maxCrashes the oldest one goes of those that no chain needs, so
// that crashes under requests that were under way displace no strike.
func (r *record) add(c crash) {
	if !r.merge(c) {
		r.crashes = append(r.crashes, c)
	}
	slices.SortStableFunc(r.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	if len(r.crashes) <= maxCrashes {
		return
	}
	var needed [maxCrashes + 1]bool
	for _, i := range slices.Concat(chain(r.crashes, follows), chain(r.crashes, isApart)) {
		needed[i] = true
	}
	surplus := max(slices.Index(needed[:], false), 0)
	r.crashes = slices.Delete(r.crashes, surplus, surplus+1)
}

// merge adds a crash of a process that other requests, or other VMs, have reported already.
// It returns false if none has.
func (r *record) merge(c crash) bool {
	for i, known := range r.crashes {
		if known.process.Upstream == c.process.Upstream && known.process.StartedAt.Equal(c.process.StartedAt) {
			if c.sentAt.After(known.sentAt) {
				r.crashes[i].sentAt = c.sentAt
			}
			return true
		}
	}
	return false
}

// expire removes the crashes that are too long ago to count.
func (r *record) expire(now time.Time) {
	if r.quarantinedAt.IsZero() {
		r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return now.Sub(c.at) > crashTTL })
	}
}
