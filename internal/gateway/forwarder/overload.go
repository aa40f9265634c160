package forwarder

import (
	"math/rand/v2"
	"time"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

const (
	// patienceShare is the part of the latency objective for which a long prompt
	// waits for an engine that is not too far behind. A client that is refused
	// sooner can still be served elsewhere in time.
	patienceShare = 0.125
	// lookAgain is how often a waiting request looks at the engines: other VMs'
	// work ends without a sign.
	lookAgain = 20 * time.Millisecond
	// returnLeast and returnMost bound the time after which a client is told to
	// come back.
	returnLeast = 300 * time.Millisecond
	returnMost  = 3 * time.Second
	// refusedGain is the weight of one decision in the share of refusals.
	refusedGain = 0.05
)

// overload learns how many of the long prompts are turned away.
type overload struct{ refused float64 }

func (o *overload) note(refused bool) {
	share := 0.0
	if refused {
		share = 1
	}
	o.refused += refusedGain * (share - o.refused)
}

// wait is how long a client should stay away: the longer the more are turned
// away, and spread, so that those who return do not come as a wave.
func (o *overload) wait(backlog time.Duration) time.Duration {
	wait := backlog + returnLeast + time.Duration(o.refused*float64(returnMost))
	spread := 0.7 + 0.6*rand.Float64()
	return time.Duration(spread * float64(min(wait, returnMost)))
}

// objective is the time that is left until the first event should come. A
// client that has come back has waited before, but its objective is not known;
// it counts anew.
func (x *exchange) objective(now time.Time) time.Duration {
	if !x.route.Generates || x.route.TargetLatency <= 0 || x.committed {
		return 0
	}
	return max(x.route.TargetLatency-now.Sub(x.arrivedAt), time.Millisecond)
}

func (x *exchange) patience() time.Duration {
	return time.Duration(patienceShare * float64(x.route.TargetLatency))
}

// turnAway refuses a long prompt for which all engines are too far behind.
func (x *exchange) turnAway(now time.Time) *classifier.Error {
	x.overload.note(true)
	err := classifier.New(classifier.Overloaded, "every engine of %s is too far behind", x.service)
	err.RetryAt = now.Add(x.overload.wait(x.choice.Backlog))
	return err
}
