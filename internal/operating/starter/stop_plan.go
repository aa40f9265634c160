package starter

import (
	"time"

	"gentianstep.example/gentianstep/internal/gateway/forwarder"
)

const (
	// balancerDrainDelay is how long the balancer may send new connections to a stopping
	// VM. It covers two health checks of the balancer, which are one second apart, and
	// latency.
	balancerDrainDelay = 2300 * time.Millisecond
	// exitShare is the part of the stop grace period that is reserved for the exit of the
	// process, at most maxExitTime.
	exitShare   = 0.0875
	maxExitTime = 700 * time.Millisecond
	// answerShare is the part in which final responses are written before, at most
	// maxAnswerTime.
	answerShare   = 0.0625
	maxAnswerTime = 500 * time.Millisecond
	// acceptShare is the part of the time until the final responses in which requests are
	// sent to upstreams whatever their deadline.
	acceptShare = 0.5
)

// stopPlan holds the times of a stop.
type stopPlan struct {
	requests forwarder.Shutdown
	// drainAt is when the VM stops to accept connections, and closeAt when it closes those
	// that are left.
	drainAt, closeAt time.Time
}

// newStopPlan returns the times of a stop that begins now.
func newStopPlan(now time.Time, grace time.Duration) stopPlan {
	closeAt := now.Add(grace - shareOf(grace, exitShare, maxExitTime))
	answerBy := closeAt.Add(-shareOf(grace, answerShare, maxAnswerTime))
	accept := shareOf(answerBy.Sub(now), acceptShare, balancerDrainDelay)
	unreachableAt := now.Add(balancerDrainDelay)
	drainAt := unreachableAt
	if answerBy.Before(drainAt) {
		drainAt = answerBy
	}
	return stopPlan{
		requests: forwarder.Shutdown{AcceptUntil: now.Add(accept), AnswerBy: answerBy, UnreachableAt: unreachableAt},
		drainAt:  drainAt,
		closeAt:  closeAt,
	}
}

// shareOf returns a share of a time, at most longest.
func shareOf(d time.Duration, share float64, longest time.Duration) time.Duration {
	return min(time.Duration(share*float64(d)), longest)
}
