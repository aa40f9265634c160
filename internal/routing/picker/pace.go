package picker

import "time"

const (
	// paceGain is the weight of one observation.
	paceGain = 0.05
	// leastPace and mostPace bound what is learned from a few odd answers.
	leastPace = 0.7
	mostPace  = 3
	// leastObserved is the shortest estimate that says something of the pace.
	leastObserved = 40 * time.Millisecond
)

// pace is how long engines take in relation to the estimate, which knows
// nothing of the tokens that they generate meanwhile.
type pace struct{ factor float64 }

func newPace() pace { return pace{factor: 1.2} }

func (p *pace) scale(estimate time.Duration) time.Duration {
	return time.Duration(p.factor * float64(estimate))
}

func (p *pace) observe(estimate, took time.Duration) {
	if estimate < leastObserved {
		return
	}
	ratio := min(max(float64(took)/float64(estimate), leastPace), mostPace)
	p.factor += paceGain * (ratio - p.factor)
}
