package forwarder

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/routing/matcher"
)

// withdrawShare is the share of weightsApply after which a request that waits
// at an engine with older weights is withdrawn. The rest covers the way of the
// closed connection to the engine.
const withdrawShare = 0.9

// minCheckInterval is the least time between two checks of an attempt while no newer
// weights are wanted. A change of the wanted ones checks it at once.
const minCheckInterval = time.Second

// scopeGrace is how long an attempt may still wait at its engine after an organisation that
// may have written to its cache scope has become isolated. Engines begin most requests within
// that time, and it leaves most of the time in which a configuration is to be in force.
const scopeGrace = 500 * time.Millisecond

// errWithdrawn is the error of an attempt that was withdrawn.
var errWithdrawn = errors.New("withdrawn before its engine began it")

// withdrawal cancels an attempt whose engine has not begun it when the time for
// its weights ends. Its connection is closed, and engines drop a request that
// waits when that happens.
type withdrawal struct {
	x        *exchange
	upstream *registrar.Upstream
	cancel   context.CancelCauseFunc
	// expected is the only version of the weights that may run the attempt, 0 if
	// any may. It is not what the VM knows of the engine, which may be wrong.
	expected uint64
	// scoped is the configuration from which the cache scope of the attempt was derived.
	scoped *matcher.Matcher

	mu    sync.Mutex
	timer *time.Timer
	// version is the version of the weights that the engine has stated in the
	// head of its response; 0 if none has arrived.
	version uint64
	// scopeEndsAt is when the time for the attempt's cache scope ends, zero while the
	// newest configuration allows that scope.
	scopeEndsAt time.Time
	// ended is true once the attempt has begun, has ended or was withdrawn.
	ended     bool
	withdrawn bool
}

// watchWaiting returns the context of an attempt that is withdrawn unless end is
// called in time.
func (x *exchange) watchWaiting(ctx context.Context, u *registrar.Upstream, expected uint64) (context.Context, *withdrawal) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &withdrawal{x: x, upstream: u, cancel: cancel, expected: expected, scoped: x.scoped}
	if x.route.CarriesPrompt {
		w.mu.Lock()
		defer w.mu.Unlock()
		x.waiting.add(w) // a check waits for the timer
		now := time.Now()
		w.timer = time.AfterFunc(w.nextCheck(now).Sub(now), w.check)
	}
	return ctx, w
}

// check withdraws the attempt if the time for the engine's weights or for the cache scope has
// ended. It is called again when that may next be the case.
func (w *withdrawal) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	now := time.Now()
	if next := w.nextCheck(now); next.After(now) {
		w.timer.Reset(next.Sub(now))
		return
	}
	w.ended, w.withdrawn = true, true
	w.x.waiting.remove(w)
	w.logWithdrawn(now)
	w.cancel(errWithdrawn)
}

// nextCheck returns when the time for the engine's weights or for the cache scope ends, or may
// end if newer weights are named from now on. The caller holds w.mu.
func (w *withdrawal) nextCheck(now time.Time) time.Time {
	version := cmp.Or(w.version, w.expected)
	allowed := time.Duration(withdrawShare * float64(w.x.weightsApply.Load()))
	next := now.Add(max(allowed, minCheckInterval))
	for _, wanted := range w.x.cfg.Directory.DesiredWeightsHistory(w.x.request.Prompt.Model) {
		if end := wanted.Since.Add(allowed); wanted.Version > version && end.Before(next) {
			next = end
		}
	}
	if w.updateScopeEnd(now); !w.scopeEndsAt.IsZero() {
		next = earlierTime(next, w.scopeEndsAt)
	}
	return next
}

// updateScopeEnd begins or cancels the time for the attempt's cache scope. The time begins anew
// while nothing was sent, since checkScope then stops the attempt. The caller holds w.mu.
func (w *withdrawal) updateScopeEnd(now time.Time) {
	switch allowed := w.x.cfg.Directory.Matcher().AllowsScopeOf(w.scoped, w.x.organisation); {
	case allowed:
		w.scopeEndsAt = time.Time{}
	case w.scopeEndsAt.IsZero() || w.x.firstByteSentAt.Load() == nil:
		w.scopeEndsAt = now.Add(scopeGrace)
	}
}

// setVersion records the version of the weights that the engine has stated.
func (w *withdrawal) setVersion(version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version = version
}

// statedVersion returns the version of the weights that the engine has stated, 0
// if it has stated none.
func (w *withdrawal) statedVersion() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

// end ends the watch. It returns errWithdrawn if the attempt was withdrawn.
func (w *withdrawal) end() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil && !w.ended {
		w.timer.Stop()
		w.x.waiting.remove(w)
	}
	w.ended = true
	if w.withdrawn {
		return errWithdrawn
	}
	return nil
}

// stop ends the watch and releases the context of the attempt.
func (w *withdrawal) stop() {
	_ = w.end() // the attempt has its error already
	w.cancel(nil)
}

// addWeightsFields adds to the log line of a request the weights on which the VM
// sent its latest attempt, those that the engine has stated, and the newest that
// were wanted when it was sent, with their age at that time, and whether a connection
// was opened for it.
func (x *exchange) addWeightsFields(fields logrus.Fields) {
	if !x.route.CarriesPrompt || x.withdrawal == nil {
		return
	}
	fields["weights"] = x.choice.WeightsVersion
	if stated := x.withdrawal.statedVersion(); stated > 0 {
		fields["stated_weights"] = stated
	}
	if x.newConnection {
		fields["new_connection"] = true
	}
	if x.withdrawn > 0 {
		fields["withdrawn"] = x.withdrawn
	}
	history := x.cfg.Directory.DesiredWeightsHistory(x.request.Prompt.Model)
	for _, wanted := range slices.Backward(history) {
		if !wanted.Since.After(x.sentAt) {
			fields["wanted_weights"] = wanted.Version
			fields["wanted_age_ms"] = x.sentAt.Sub(wanted.Since).Milliseconds()
			return
		}
	}
}

// logWithdrawn logs the withdrawal of an attempt.
// logWithdrawn logs a withdrawal with its cause. The caller holds w.mu.
func (w *withdrawal) logWithdrawn(now time.Time) {
	w.x.cfg.Meter.Count(meter.Withdrawn, "", 1)
	cause := causeWeights
	if !w.scopeEndsAt.IsZero() && !now.Before(w.scopeEndsAt) {
		cause = causeScope
	}
	w.x.logAttempt("attempt_withdrawn", now, w.upstream).WithField("cause", cause).Info("request is withdrawn, its engine has not begun it in time")
}

// logAttempt returns a log entry for an attempt that its engine's weights have ended.
func (x *exchange) logAttempt(event string, now time.Time, u *registrar.Upstream) *logrus.Entry {
	return x.logUpstream(event, u).WithFields(logrus.Fields{
		"model":   x.request.Prompt.Model,
		"weights": x.cfg.View.WeightsVersion(now, u, x.request.Prompt.Model),
		"took_ms": now.Sub(x.sentAt).Milliseconds(),
	})
}

// expectedWeights returns the only version of the weights that may run the
// attempt, or 0 if any may. Weights that are older than the VM believes must not
// run it once they are too old. While none are, an engine that has changed to
// newer ones in the meantime may.
func (x *exchange) expectedWeights(now time.Time) uint64 {
	if !x.route.CarriesPrompt {
		return 0
	}
	model := x.request.Prompt.Model
	history := x.cfg.Directory.DesiredWeightsHistory(model)
	oldest, _, _ := x.wantedWeights(now, model)
	if n := len(history); oldest > 0 || n > 0 && history[n-1].Version == x.choice.WeightsVersion {
		return x.choice.WeightsVersion
	}
	return 0
}
