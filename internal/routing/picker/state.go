package picker

import "time"

const (
	// firstCooldown and lastCooldown bound how long an upstream that could not
	// be reached is left out.
	firstCooldown = 500 * time.Millisecond
	lastCooldown  = 4 * time.Second
	// faultGain is the weight of one outcome in the share of failures.
	faultGain = 0.1
	// stateFor is how long the state of an upstream without requests is kept: far
	// over the longest cooldown, and by then its share of failures says little.
	stateFor = time.Minute
)

// state is what this VM knows of one upstream.
type state struct {
	load Load
	// keptUntil is when the state may be dropped, where no requests are open.
	keptUntil time.Time
	failures  int
	// coolsUntil is zero unless the upstream could not be reached.
	coolsUntil time.Time
	// faults is the recent share of failed answers.
	faults float64
}

func (p *Picker) own(id string) Load {
	if s := p.states[id]; s != nil {
		return s.load
	}
	return Load{}
}

// state returns what is known of an upstream that is used now.
func (p *Picker) state(now time.Time, id string) *state {
	s, ok := p.states[id]
	if !ok {
		p.dropStates(now)
		s = &state{}
		p.states[id] = s
	}
	s.keptUntil = now.Add(stateFor)
	return s
}

// dropStates drops what is known of upstreams that have not been used for long.
func (p *Picker) dropStates(now time.Time) {
	for id, s := range p.states {
		if s.load == (Load{}) && now.After(s.keptUntil) {
			delete(p.states, id)
		}
	}
}

// Loads returns what this VM has at each upstream.
func (p *Picker) Loads() map[string]Load {
	loads := make(map[string]Load)
	for id, s := range p.states {
		if s.load != (Load{}) {
			loads[id] = s.load
		}
	}
	return loads
}

// Answered notes an answer of an upstream, a failed one or not. It reports
// whether the upstream could not be reached before.
func (p *Picker) Answered(now time.Time, id string, failed bool) (regained bool) {
	s := p.state(now, id)
	regained = s.failures > 0
	s.failures, s.coolsUntil = 0, time.Time{}
	outcome := 0.0
	if failed {
		outcome = 1
	}
	s.faults += faultGain * (outcome - s.faults)
	return regained
}

// Unreachable notes that an upstream could not be reached. Failures that come
// during a cooldown do not lengthen it. It returns when the upstream is tried
// again, the zero time where a cooldown was under way.
func (p *Picker) Unreachable(now time.Time, id string) time.Time {
	s := p.state(now, id)
	if now.Before(s.coolsUntil) {
		return time.Time{}
	}
	cooldown := min(firstCooldown<<min(s.failures, 8), lastCooldown)
	s.failures++
	s.coolsUntil = now.Add(cooldown + time.Duration(p.rng.Int64N(int64(cooldown/4))))
	return s.coolsUntil
}

// Avoid leaves an upstream out until a time, for a reason that is no failure.
func (p *Picker) Avoid(now time.Time, id string, until time.Time) {
	s := p.state(now, id)
	if until.After(s.coolsUntil) {
		s.coolsUntil = until
	}
}
