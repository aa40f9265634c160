package forwarder

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/gateway/rationer"
	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/operating/reserver"
	"gentianstep.example/gentianstep/internal/routing/matcher"
	"gentianstep.example/gentianstep/internal/routing/picker"
	"gentianstep.example/gentianstep/internal/routing/quarantiner"
	"gentianstep.example/gentianstep/internal/upstream/noticer"
)

const (
	// minSendTime is the time that must be left before the deadline for a
	// request to be sent; it covers a round trip to another region.
	minSendTime = 20 * time.Millisecond
	// busyCooldown is how long an upstream that refused a request is skipped.
	busyCooldown = 300 * time.Millisecond
	// replacedCooldown is how long an upstream is skipped after another
	// instance has responded at its address: until its outdated entry is
	// removed.
	replacedCooldown = 5 * time.Second
	// engineRequestsPerSlot and plainRequestsPerSlot are the numbers of
	// requests per slot of an upstream that all VMs together may have waiting
	// or running there. Few wait at engines, where a VM can neither reorder nor
	// refuse them and which lose them in a crash.
	engineRequestsPerSlot = 1.3
	plainRequestsPerSlot  = 3.0
	// imbalanceFactor raises the limit of each VM above an equal share, since
	// some VMs get more of the traffic than others.
	imbalanceFactor = 2.0
	// minRequestsPerVM is the lower bound of that limit, so that a VM can still
	// use an upstream that it shares with many others.
	minRequestsPerVM = 2
	// urgentPromptTokens is the length of a prompt from which the load is
	// reported to the other VMs at once: an engine takes some 50 ms to read it.
	urgentPromptTokens = 2500
	// writeGrace is the time after the deadline during which a client may still
	// read what was written.
	writeGrace = 500 * time.Millisecond
	// maxWaitShare is the share of the latency objective for which a request
	// may wait for capacity at an upstream.
	maxWaitShare = 0.75
)

// exchange holds the state of one client request across its attempts.
type exchange struct {
	*Forwarder
	r        *http.Request
	response *response

	request       *Request
	configuration *matcher.Configuration
	route         *matcher.Route
	organisation  *matcher.Organisation
	service       string
	// charge is what the request has used of its organisation's quota.
	charge *rationer.Charge
	// body is the body of the request, reservation its memory. bodyReleased is true once no
	// further attempt may be made.
	body         []byte
	reservation  *reserver.Reservation
	bodyReleased bool
	arrivedAt    time.Time
	deadline     time.Time
	// fingerprints are what the request may have in common with others under which
	// upstreams crash.
	fingerprints []quarantiner.Fingerprint

	attempts int
	// tried holds the IDs of upstreams at which the request has failed and to
	// which it is not sent again.
	tried map[string]bool
	// addresses holds those to which an attempt was sent, if only a part of it.
	addresses map[netip.AddrPort]bool
	choice    picker.Choice
	// scoped is the configuration from which the cache scope of the latest choice was
	// derived. It may be newer than that of the request.
	scoped *matcher.Matcher
	// access is the access to the upstreams at the time of the choice.
	access noticer.Split
	// lastResort is true if the chosen upstream is leaving.
	lastResort bool
	// newConnection is true if the latest attempt was sent on a connection that was
	// opened for it.
	newConnection bool
	// withdrawal is that of the latest attempt.
	withdrawal *withdrawal
	// withdrawn is the number of attempts that were withdrawn.
	withdrawn int
	// sentAt is when the upstream of the latest attempt was chosen.
	sentAt time.Time
	// firstByteSentAt is when the first byte of the latest attempt was sent, nil if none
	// was. The transport sets it.
	firstByteSentAt atomic.Pointer[time.Time]
	// pass holds the trials that permit the latest attempt. The transport sets it.
	pass atomic.Pointer[quarantiner.Pass]
	// weighed is what the refused request was weighed against, or nil.
	weighed *weighed
	// readingPrompt is true from sending an attempt until the upstream has read
	// the prompt.
	readingPrompt bool
	// upstreamResponse describes the response to the latest attempt.
	upstreamResponse upstreamResponse
	firstByteAt      time.Time
	// sequence is the order of the events that the client has received.
	sequence sequence
	// resumed is false while the client has events and the latest attempt has sent none with
	// a number, so that it may be something else than the rest of the stream.
	resumed bool
	events  int
	// eventsBefore is the number of events before the latest attempt.
	eventsBefore int
	// mayHaveRun is true if an upstream may have run the request.
	mayHaveRun bool
}

// run sends the request until an attempt succeeds or no retry is possible.
func (x *exchange) run() {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	ctx, release := x.withShutdown(ctx)
	defer release()
	defer x.setWriteDeadline()()
	x.sequence = newSequence(x.request.ResumeAfter)
	x.mu.Lock()
	x.budget.RecordRequest(x.arrivedAt, x.service)
	x.mu.Unlock()
	for {
		u, refusal := x.acquireUpstream(ctx)
		if refusal != nil {
			x.failRequest(ctx, refusal)
			return
		}
		err := x.sendAttempt(ctx, u)
		if err == nil {
			return
		}
		if errors.Is(err, errQuarantined) {
			x.attempts--
			continue // the next choice refuses it
		}
		if x.recordWithheld(err) {
			continue
		}
		if final := x.checkRetry(ctx, u, err); final != nil {
			x.failRequest(ctx, final)
			return
		}
	}
}

// setWriteDeadline bounds the time for which a client that does not read keeps
// its request open. The returned function clears the deadline, so that it does
// not apply to the next request of the connection.
func (x *exchange) setWriteDeadline() func() {
	if err := x.response.setWriteDeadline(x.deadline.Add(writeGrace)); err != nil {
		x.cfg.Log.WithError(err).WithField("event", "deadline_unset").Warn("could not set write deadline of client connection")
		return func() {}
	}
	return func() { _ = x.response.setWriteDeadline(time.Time{}) } // fails only on a closed connection
}

// acquireUpstream waits until an upstream has capacity for the request, and
// counts the request there.
func (x *exchange) acquireUpstream(ctx context.Context) (*registrar.Upstream, *classifier.Error) {
	latest := x.arrivedAt.Add(time.Duration(maxWaitShare * float64(x.route.TargetLatency)))
	if latest.After(x.deadline) || x.route.TargetLatency <= 0 {
		latest = x.deadline
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	w := x.newWaiter(latest)
	for arrival := true; ; arrival = false {
		now := time.Now()
		if refusal := x.checkSendable(now); refusal != nil {
			return nil, refusal
		}
		q := x.chooseInOrder(now, w)
		switch {
		case x.choice.Upstream != nil:
			x.picker.RecordSent(now, q, x.choice)
			x.recordSent(now)
			if x.choice.PromptTokens >= urgentPromptTokens {
				x.overload.recordDecision(false)
				x.RequestUrgentReport()
			}
			return x.choice.Upstream, nil
		case x.choice.Reason == picker.NoUpstream:
			if refusal := x.refuseNoUpstream(now, latest); refusal != nil {
				return nil, refusal
			}
		case x.backlogWaitEnded(now):
			return nil, x.rejectPrompt(now, w)
		case !now.Before(latest):
			return nil, classifier.New(classifier.Overloaded, "every upstream of %s is full", x.service)
		}
		if refusal := x.shed(now, w, arrival); refusal != nil {
			return nil, refusal
		}
		x.waitForCapacity(ctx, w, x.recheckAt(now, latest))
		if x.r.Context().Err() != nil {
			return nil, classifier.Wrap(classifier.CallerGone, x.r.Context().Err(), "the client left while waiting")
		}
	}
}

// checkSendable returns the refusal of a request that is sent to no upstream, or nil.
func (x *exchange) checkSendable(now time.Time) *classifier.Error {
	if !now.Add(minSendTime).Before(x.deadline) {
		return classifier.New(classifier.DeadlineUnmeetable, "no time is left")
	}
	if refusal := x.checkShutdown(now); refusal != nil {
		return refusal
	}
	return x.checkQuarantine(now)
}

// RequestUrgentReport signals that the loads should be reported to the hub at
// once. It does nothing if a signal is pending already.
func (f *Forwarder) RequestUrgentReport() {
	select {
	case f.urgentReports <- struct{}{}:
	default:
	}
}
