package forwarder

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// outcomeAnswered is the logged outcome of a request that got the response of
// an upstream; any other outcome is an error kind.
const outcomeAnswered = "answered"

// recordOutcome writes the log line and the metrics of a request that ended. It
// is called once per request.
func (x *exchange) recordOutcome(status int, outcome string, err error) {
	now := time.Now()
	fields := logrus.Fields{
		"event":      "request",
		"request_id": x.request.ID,
		"outcome":    outcome,
		"status":     status,
		"attempts":   x.attempts,
		"total_ms":   now.Sub(x.arrivedAt).Milliseconds(),

		"client_status": x.response.status,
		"client_end":    x.response.result(),
	}
	x.upstreamResponse.addFields(fields)
	if x.route != nil {
		fields["route"] = x.route.Name
		fields["service"] = x.service
		fields["configuration"] = x.configuration.Version
	}
	if !x.deadline.IsZero() {
		fields["left_ms"] = x.deadline.Sub(now).Milliseconds()
	}
	if x.organisation != nil {
		fields["organisation"] = x.organisation.Name
	}
	if parts := x.loggedParts(); len(parts) > 0 {
		fields["parts"] = parts
	} else if len(x.fingerprints) > 0 {
		fields["fingerprint"] = x.fingerprints[0]
	}
	x.addChoiceFields(now, fields)
	x.weighed.addFields(fields)
	x.recordSpeed(fields)
	if x.events > 0 {
		fields["events"] = x.events
		fields["attempt_events"] = x.events - x.eventsBefore
		fields["first_event_ms"] = x.firstByteAt.Sub(x.arrivedAt).Milliseconds()
		x.cfg.Meter.Observe(meter.FirstByteSeconds, x.firstByteAt.Sub(x.arrivedAt))
	}
	entry := x.cfg.Log.WithFields(fields)
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("request ended")
	x.cfg.Meter.Count(meter.Requests, strconv.Itoa(status), 1)
	x.cfg.Meter.Observe(meter.RequestSeconds, now.Sub(x.arrivedAt))
	if outcome != outcomeAnswered {
		x.cfg.Meter.Count(meter.Failures, outcome, 1)
	}
}

// addChoiceFields adds what decided the latest choice of an upstream, and what is known of it.
func (x *exchange) addChoiceFields(now time.Time, fields logrus.Fields) {
	if x.choice.Reason != "" {
		fields["reason"] = x.choice.Reason
		fields["candidates"] = x.choice.Candidates
		fields["in_flight"] = x.choice.Load.InFlight
		fields["queued_tokens"] = x.choice.Load.PromptTokens
	}
	x.addLimitFields(now, fields)
	if u := x.choice.Upstream; u != nil {
		fields["upstream"] = u.ID
		fields["read_tokens"] = x.choice.PromptTokens
		if x.choice.Scope != "" {
			fields["scope"], fields["prompt"] = x.choice.Scope, x.request.Prompt.Parts[0].ID
		}
		fields["cost_ms"] = x.choice.Costs.Total().Milliseconds()
		fields["wait_ms"] = x.sentAt.Sub(x.arrivedAt).Milliseconds()
		fields["upstream_started_ms"] = registrar.StartMillis(u.StartedAt)
		if x.lastResort {
			fields["last_resort"] = true
		}
		if at := x.firstByteSentAt.Load(); at != nil {
			fields["send_ms"] = at.Sub(x.sentAt).Milliseconds()
		}
		x.addWeightsFields(fields)
	}
	if x.choice.Source != nil {
		fields["source"] = x.choice.Source.ID
	}
	if x.choice.SaveStore != nil {
		fields["save"] = x.choice.SaveStore.ID
	}
}

// upstreamResponse is what the log tells of the head of an upstream's response.
type upstreamResponse struct {
	// status is 0 if no response has arrived.
	status      int
	contentType string
	// framed is true if the response states where its body ends.
	framed bool
}

func newUpstreamResponse(answer *caller.Response) upstreamResponse {
	return upstreamResponse{status: answer.Status, contentType: answer.Header.Get("Content-Type"), framed: answer.Framed}
}

func (r upstreamResponse) addFields(fields logrus.Fields) {
	if r.status == 0 {
		return
	}
	fields["upstream_status"] = r.status
	fields["upstream_framed"] = r.framed
	fields["content_type"] = r.contentType
}

// addLimitFields adds the number of upstreams that took no request at the latest choice
// since they have a limit, and the limit of the chosen one.
func (x *exchange) addLimitFields(now time.Time, fields logrus.Fields) {
	if n := len(x.access.Limited); n > 0 {
		fields["limited"] = n
	}
	u := x.choice.Upstream
	if u == nil {
		return
	}
	if perSecond, age, limited := x.cfg.Noticer.Limit(now, u); limited {
		fields["limit_per_second"], fields["limit_age_ms"] = perSecond, age.Milliseconds()
	}
}

// logRetry logs a failed attempt that is followed by another.
func (x *exchange) logRetry(u *registrar.Upstream, failure *caller.Failure) {
	fields := logrus.Fields{
		"event":          "attempt_failed",
		"request_id":     x.request.ID,
		"upstream":       u.ID,
		"attempt":        x.attempts,
		"not_run":        failure.NotRun,
		"took_ms":        time.Since(x.sentAt).Milliseconds(),
		"last_event":     x.sequence.last,
		"attempt_events": x.events - x.eventsBefore,
	}
	x.upstreamResponse.addFields(fields)
	x.cfg.Log.WithError(failure).WithFields(fields).Info("attempt failed, request is retried")
}

// logUpstream returns a log entry for a change of an upstream's health that a
// request has detected.
func (x *exchange) logUpstream(event string, u *registrar.Upstream) *logrus.Entry {
	return x.cfg.Log.WithFields(logrus.Fields{
		"event":      event,
		"request_id": x.request.ID,
		"upstream":   u.ID,
		"service":    u.Service,
		"address":    u.Address.String(),
	})
}
