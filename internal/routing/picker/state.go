package picker

import "time"

const (
	// minCooldown and maxCooldown bound the cooldown of an unreachable
	// upstream, without its jitter.
	minCooldown = 500 * time.Millisecond
	maxCooldown = 4 * time.Second
	// failureRateGain is the weight of a new outcome in the failure rate.
	failureRateGain = 0.1
	// stateTTL is how long the state of an upstream without requests is kept.
	// It is much longer than maxCooldown, and an older failure rate says
	// little.
	stateTTL = time.Minute
)

// upstreamState is this VM's load at one upstream and the health it observed.
type upstreamState struct {
	load Load
	// expiresAt is when the state may be evicted, if no requests are in flight.
	expiresAt time.Time
	// failures is the number of cooldowns that failures started since the last
	// answer.
	failures int
	// cooldownUntil is the end of the cooldown, zero after an answer.
	cooldownUntil time.Time
	// failureRate is a moving average of failed answers, from 0 to 1.
	failureRate float64
}

// ownLoad returns the load that this VM has at an upstream or store.
func (p *Picker) ownLoad(id string) Load {
	if s := p.states[id]; s != nil {
		return s.load
	}
	return Load{}
}

// touchState returns the state of an upstream, created if absent, and extends
// its expiry.
func (p *Picker) touchState(now time.Time, id string) *upstreamState {
	s, ok := p.states[id]
	if !ok {
		p.evictStates(now)
		s = &upstreamState{}
		p.states[id] = s
	}
	s.expiresAt = now.Add(stateTTL)
	return s
}

// evictStates deletes the expired states of upstreams without load.
func (p *Picker) evictStates(now time.Time) {
	for id, s := range p.states {
		if s.load == (Load{}) && now.After(s.expiresAt) {
			delete(p.states, id)
		}
	}
}

// Loads returns the load that this VM has at each upstream, without idle ones.
func (p *Picker) Loads() map[string]Load {
	loads := make(map[string]Load)
	for id, s := range p.states {
		if s.load != (Load{}) {
			loads[id] = s.load
		}
	}
	return loads
}

// RecordAnswer records an answer of an upstream and whether it was a failure.
// It ends a cooldown and reports whether the upstream was unreachable before.
func (p *Picker) RecordAnswer(now time.Time, id string, failed bool) (regained bool) {
	s := p.touchState(now, id)
	regained = s.failures > 0
	s.failures, s.cooldownUntil = 0, time.Time{}
	outcome := 0.0
	if failed {
		outcome = 1
	}
	s.failureRate += failureRateGain * (outcome - s.failureRate)
	return regained
}

// RecordUnreachable records that an upstream could not be reached and starts a
// cooldown, with exponential back-off and jitter. It returns the end of the
// cooldown. During a cooldown it changes nothing and returns the zero time.
func (p *Picker) RecordUnreachable(now time.Time, id string) time.Time {
	s := p.touchState(now, id)
	if now.Before(s.cooldownUntil) {
		return time.Time{}
	}
	cooldown := min(minCooldown<<min(s.failures, 8), maxCooldown)
	s.failures++
	s.cooldownUntil = now.Add(cooldown + time.Duration(p.rng.Int64N(int64(cooldown/4))))
	return s.cooldownUntil
}

// ExcludeUntil puts an upstream into cooldown until a time, for a reason other
// than a failure.
func (p *Picker) ExcludeUntil(now time.Time, id string, until time.Time) {
	s := p.touchState(now, id)
	if until.After(s.cooldownUntil) {
		s.cooldownUntil = until
	}
}
