package forwarder

import (
	"math/rand/v2"
	"time"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

const (
	// backlogWaitShare is the share of the latency objective for which a
	// prompt waits while every engine is too far behind. It is short, so that a
	// refused client can still be served elsewhere in time.
	backlogWaitShare = 0.125
	// backlogPollInterval is how often a request that waits for a shorter
	// backlog checks the engines: the end of other VMs' requests does not wake
	// it.
	backlogPollInterval = 20 * time.Millisecond
	// fullPollInterval is how often a request looks for a free place, which the other VMs'
	// loads show. They are updated about as often.
	fullPollInterval = 50 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refused
	// client, before jitter.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// refusalGain is the weight of one decision in the moving average of
	// refusals.
	refusalGain = 0.05
)

// overloadTracker keeps an exponential moving average of the share of long
// prompts that are refused.
type overloadTracker struct{ refusalRate float64 }

// recordDecision adds one long prompt, refused or sent, to the average.
func (o *overloadTracker) recordDecision(refused bool) {
	outcome := 0.0
	if refused {
		outcome = 1
	}
	o.refusalRate += refusalGain * (outcome - o.refusalRate)
}

// retryAfter returns the Retry-After of a refused client. It grows with the
// backlog and the share of refusals, and has jitter, so that refused clients do
// not all retry at once.
func (o *overloadTracker) retryAfter(backlog time.Duration) time.Duration {
	wait := backlog + minRetryAfter + time.Duration(o.refusalRate*float64(maxRetryAfter))
	jitter := 0.7 + 0.6*rand.Float64()
	return time.Duration(jitter * float64(min(wait, maxRetryAfter)))
}

// remainingObjective returns the time left until the first event is due, or 0
// if no objective applies. It counts from the arrival of this request, also
// where the client retries after a refusal: the time of its first request is
// not known.
func (x *exchange) remainingObjective(now time.Time) time.Duration {
	if !x.route.CarriesPrompt || x.route.TargetLatency <= 0 || x.response.begun() {
		return 0
	}
	return max(x.route.TargetLatency-now.Sub(x.arrivedAt), time.Millisecond)
}

// maxBacklogWait returns how long a prompt waits for engines that are too far behind.
func (x *exchange) maxBacklogWait() time.Duration {
	return time.Duration(backlogWaitShare * float64(x.route.TargetLatency))
}

// rejectPrompt returns the refusal of a prompt for which every engine is too far
// behind. The refusals of long ones determine the time to return.
func (x *exchange) rejectPrompt(now time.Time, w *waiter) *classifier.Error {
	if x.choice.PromptTokens >= urgentPromptTokens {
		x.overload.recordDecision(true)
	}
	x.weighed = x.weighAhead(now, w, x.choice.Backlog)
	err := classifier.New(classifier.Overloaded, "every engine of %s is too far behind", x.service)
	err.RetryAt = now.Add(x.overload.retryAfter(x.choice.Backlog))
	return err
}
