package forwarder

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/routing/picker"
	"gentianstep.example/gentianstep/internal/upstream/noticer"
)

const (
	// withheldWaitShare is the share of the time that a request may wait for
	// capacity in which it waits for the end of a hold-off of every upstream, or for
	// the check of one that may be leaving.
	withheldWaitShare = 0.125
	// holdOffSpreadShare is the share of the rest of a hold-off over which the
	// refused clients are spread after its end.
	holdOffSpreadShare = 0.5
	// pacedPollInterval is how often a request looks at the upstreams while the
	// first ones after a hold-off, or checks, are under way: those of lost responses
	// wake no request.
	pacedPollInterval = 50 * time.Millisecond
)

// choose sets x.choice to an upstream that takes requests, or to a leaving one
// if no other can serve the request. It returns the query of the choice.
func (x *exchange) choose(now time.Time) picker.Query {
	q := x.query(now)
	x.access = x.cfg.Noticer.Split(now, q.Upstreams, func(u *registrar.Upstream) bool {
		return !q.Exclude[u.ID] && (q.Usable == nil || q.Usable(u))
	})
	q.Upstreams, q.Sources, x.lastResort = x.access.Open, x.access.Limited, false
	x.choice = x.picker.Choose(now, q)
	if x.choice.Reason != picker.NoUpstream || len(x.access.LastResort) == 0 {
		return q
	}
	q.Upstreams, x.lastResort = x.access.LastResort, true
	if q.Prompt != nil {
		q.Prompt.Engine.LinkBytesPerSecond = 0 // a leaving engine copies no cache
	}
	x.choice = x.picker.Choose(now, q)
	return q
}

// refuseNoUpstream returns the refusal of a request for which no upstream was
// found, or nil if it should wait for the end of a hold-off or for a check.
func (x *exchange) refuseNoUpstream(now, latest time.Time) *classifier.Error {
	soon := x.arrivedAt.Add(time.Duration(withheldWaitShare * float64(latest.Sub(x.arrivedAt))))
	if x.access.Unverified && now.Before(soon) {
		return nil
	}
	if len(x.access.Limited) > 0 {
		return x.refuseLimited(now, soon)
	}
	if !x.access.Paced && x.access.BackAt.IsZero() {
		return classifier.New(classifier.NoUpstream, "no upstream of %s can be used", x.service)
	}
	if !now.Before(latest) {
		return classifier.New(classifier.Overloaded, "every upstream of %s is held off", x.service)
	}
	backAt := x.access.BackAt
	if x.access.Paced || !backAt.After(soon) {
		return nil
	}
	err := classifier.New(classifier.Overloaded, "every upstream of %s is held off", x.service)
	spread := min(time.Duration(holdOffSpreadShare*float64(backAt.Sub(now))), x.deadline.Sub(backAt)-minSendTime)
	if spread <= 0 {
		err.Final = true
		return err
	}
	err.RetryAt = backAt.Add(rand.N(spread))
	return err
}

// accessChangeAt returns the time until which a request that waits for capacity
// need not check the upstreams, at most until.
func (x *exchange) accessChangeAt(now, until time.Time) time.Time {
	if x.access.Paced || x.access.Unverified || len(x.access.Limited) > 0 {
		until = earlierTime(until, now.Add(pacedPollInterval))
	}
	for _, at := range []time.Time{x.access.BackAt, x.access.ClosesAt} {
		if !at.IsZero() {
			until = earlierTime(until, at)
		}
	}
	return until
}

// wakeWaiting lets all requests that wait for capacity of a service, or of any if it
// is empty, choose again.
func (f *Forwarder) wakeWaiting(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, q := range f.queues {
		for (service == "" || service == name) && len(q.waiters) > 0 {
			q.wakeFirst(time.Now())
		}
	}
}

func earlierTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// recordWithheld reports whether an attempt was not sent because its upstream
// takes no requests any more, or has weights that are too old, so that another is
// chosen. Such an attempt does not count.
func (x *exchange) recordWithheld(err error) bool {
	if !errors.Is(err, noticer.ErrWithheld) && !errors.Is(err, errOutdated) {
		return false
	}
	x.attempts--
	return true
}

// admission returns a function that returns noticer.ErrWithheld if the chosen
// upstream, or the one that it would copy KV cache from, takes no requests any
// more, by its entry or its notices, and errOutdated if its weights have become too
// old.
func (x *exchange) admission(u *registrar.Upstream) func() error {
	lastResort, source, version, scoped := x.lastResort, x.sourceUpstream(), x.choice.WeightsVersion, x.scoped
	return func() error {
		if err := x.checkWeights(u, version); err != nil {
			return err
		}
		if err := x.checkScope(u, scoped); err != nil {
			return err
		}
		usable := slices.ContainsFunc(x.cfg.Directory.Usable(x.service), func(current *registrar.Upstream) bool {
			return current.ID == u.ID && current.Address == u.Address
		})
		if !usable {
			return noticer.ErrWithheld
		}
		if source != nil && !x.cfg.Noticer.IsOpen(source) {
			return noticer.ErrWithheld
		}
		if err := x.cfg.Noticer.Admit(u, lastResort); err != nil {
			return err
		}
		pass, admitted := x.cfg.Isolator.AdmitWithPass(x.fingerprints)
		if !admitted {
			return errQuarantined
		}
		x.pass.Store(&pass)
		now := time.Now()
		x.firstByteSentAt.Store(&now)
		return nil
	}
}

// sourceUpstream returns the upstream to copy KV cache from, nil if there is none
// or if it is a store.
func (x *exchange) sourceUpstream() *registrar.Upstream {
	if x.choice.Source == nil {
		return nil
	}
	for _, u := range slices.Concat(x.access.Open, x.access.Limited) {
		if u.ID == x.choice.Source.ID {
			return u
		}
	}
	return nil
}
