package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/routing/matcher"
	"gentianstep.example/gentianstep/internal/routing/quarantiner"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

const (
	// maxCrashEvents is the number of events of a stream up to which its request counts
	// as one under which an engine crashed: engines crash when they begin to write.
	maxCrashEvents = 1
	// trialResultTime is the time in which the result of a trial is known. The clients
	// that were refused are spread over it after the trial.
	trialResultTime = time.Second
	// maxLoggedParts is the number of parts of a prompt that its log line names.
	maxLoggedParts = 8
)

// errQuarantined is the error of an attempt that was not sent since upstreams crash under
// requests like it.
var errQuarantined = errors.New("upstreams crash under requests with the same content")

// setFingerprints sets the fingerprints of the request: those of the parts of its prompt,
// or that of all of it if it has none.
func (x *exchange) setFingerprints() {
	prompt := &x.request.Prompt
	for _, part := range prompt.Parts {
		x.fingerprints = append(x.fingerprints, quarantiner.NewPart(prompt.Model, part.ID))
	}
	if len(prompt.Parts) > 0 {
		return
	}
	organisation := ""
	if x.organisation != nil {
		organisation = x.organisation.Name
	}
	x.fingerprints = append(x.fingerprints,
		quarantiner.NewRequest(organisation, x.request.Method, x.request.Host, x.request.Target, x.body))
}

// loggedParts returns the IDs of the first parts of the prompt.
func (x *exchange) loggedParts() []string {
	parts := x.request.Prompt.Parts
	ids := make([]string, 0, min(len(parts), maxLoggedParts))
	for _, part := range parts[:min(len(parts), maxLoggedParts)] {
		ids = append(ids, part.ID)
	}
	return ids
}

// checkQuarantine returns the refusal of a request that is not sent since upstreams crash
// under requests like it, or nil.
func (x *exchange) checkQuarantine(now time.Time) *classifier.Error {
	refusal, refused := x.cfg.Isolator.Check(x.fingerprints)
	if !refused {
		return nil
	}
	err := classifier.New(classifier.Quarantined, "upstreams crash under requests with %s", refusal.Fingerprint)
	if refusal.TrialAt.IsZero() {
		err.Final = true
		return err
	}
	trialAt := refusal.TrialAt
	if trialAt.Before(now) {
		trialAt = now
	}
	err.RetryAt = trialAt.Add(trialResultTime/2 + rand.N(trialResultTime))
	return err
}

// recordCrash records an attempt whose connection broke before the end of the response, or
// just behind its start. It counts against the request if the upstream has crashed.
func (x *exchange) recordCrash(ctx context.Context, now time.Time, u *registrar.Upstream, failure *caller.Failure) {
	broken := failure.Sent && !failure.NotRun && failure.Status == 0
	endedHere := ctx.Err() != nil || errors.Is(failure, errClientGone) || errors.Is(failure, errWithdrawn)
	if !broken || endedHere || x.events-x.eventsBefore > maxCrashEvents || !x.isStaying(u) {
		return
	}
	sentAt := x.sentAt
	if at := x.firstByteSentAt.Load(); at != nil {
		sentAt = *at
	}
	x.cfg.Isolator.RecordBroken(u, quarantiner.Crash{
		Fingerprints: x.fingerprints, Weights: x.choice.WeightsVersion, SentAt: sentAt, At: now,
	})
}

// returnPass gives back the trial that permitted the latest attempt, if it has not run.
func (x *exchange) returnPass(failure *caller.Failure) {
	if pass := x.pass.Swap(nil); pass != nil && failure.NotRun {
		x.cfg.Isolator.Return(*pass)
	}
}

// isStaying reports whether an upstream is in service and has not stated that it is leaving.
// The end of one that leaves is no crash.
func (x *exchange) isStaying(u *registrar.Upstream) bool {
	usable := slices.ContainsFunc(x.cfg.Directory.Usable(x.service), func(current *registrar.Upstream) bool {
		return current.ID == u.ID && current.StartedAt.Equal(u.StartedAt)
	})
	return usable && !x.cfg.Noticer.IsLeaving(u)
}

// recordAnswer records a complete response of an upstream. A success shows that the
// upstream has survived the request, unless it is a stream that ended with its connection
// right behind its start.
func (x *exchange) recordAnswer(answer *caller.Response) {
	mayHaveCrashed := !answer.Framed && x.route.Kind == matcher.Stream && x.events-x.eventsBefore <= maxCrashEvents
	if mayHaveCrashed || answer.Status < http.StatusOK || answer.Status >= http.StatusMultipleChoices {
		return
	}
	x.cfg.Isolator.RecordAnswer(x.fingerprints, max(x.choice.WeightsVersion, x.withdrawal.statedVersion()))
}
