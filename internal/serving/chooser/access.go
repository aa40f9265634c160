package chooser

import (
	"math/rand/v2"
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/routing/throttler"
	"gentianstep.example/gentianstep/internal/serving/dispatcher"
)

// holdOffSpreadShare is the share of the rest of a hold-off over which the refused
// callers are spread after its end.
const holdOffSpreadShare = 0.5

// maxReturnAfter is the longest Retry-After of a refusal because of limits.
const maxReturnAfter = time.Minute

// acceptsRequests reports whether an upstream may be sent new requests, that is
// whether it is not leaving and in no hold-off.
func (c *Chooser) acceptsRequests(upstream string) bool {
	return c.inService(upstream) && (c.cfg.Notices == nil || c.cfg.Notices.IsOpen(upstream))
}

func (c *Chooser) inService(upstream string) bool {
	return c.cfg.Departures == nil || c.cfg.Departures.AcceptsRequests(upstream)
}

// canServe reports whether an upstream can serve j now.
func (c *Chooser) canServe(j dispatcher.Job, upstream string) bool {
	return c.acceptsRequests(upstream) && c.serves(j, upstream)
}

// serves reports whether an upstream serves the model of j. An engine without a
// report is assumed to be ready, so that a router can serve before the first
// reports arrive.
func (c *Chooser) serves(j dispatcher.Job, upstream string) bool {
	report, known := c.reports[upstream]
	if !known {
		return true
	}
	return !report.Leaving && report.Serves(j.Model.Name, j.Model.WeightsVersion)
}

// noCandidate returns the error of a request without a candidate: err, or one that
// says when the first upstream in a hold-off takes requests again, or when
// the caller should retry because of limits. key is the model or the service. The caller holds c.mu.
func (c *Chooser) noCandidate(now time.Time, key string, names []string, serves func(string) bool, err *classifier.Error) error {
	if c.cfg.Notices == nil {
		return err
	}
	if err := c.checkLimits(now, key, names, serves); err != nil {
		return err
	}
	var backAt time.Time
	for _, name := range names {
		until := c.cfg.Notices.HeldUntil(name)
		if until.After(now) && (backAt.IsZero() || until.Before(backAt)) && c.inService(name) && serves(name) {
			backAt = until
		}
	}
	if backAt.IsZero() {
		return err
	}
	held := classifier.New(classifier.Overloaded, "every upstream wants no requests for now")
	held.RetryAt = backAt.Add(rand.N(1 + time.Duration(holdOffSpreadShare*float64(backAt.Sub(now)))))
	return held
}

// checkLimits returns the error of a request whose upstreams have got as many as they take
// of this router for now, nil if there are none. The caller holds c.mu.
func (c *Chooser) checkLimits(now time.Time, key string, names []string, serves func(string) bool) *classifier.Error {
	share := 0.0
	for _, name := range names {
		if c.inService(name) && serves(name) && !c.cfg.Notices.HeldUntil(name).After(now) {
			share += c.cfg.Notices.LimitShare(name)
		}
	}
	if share == 0 {
		return nil
	}
	returns := c.returns[key]
	if returns == nil {
		returns = &throttler.Returns{}
		c.returns[key] = returns
	}
	err := classifier.New(classifier.Overloaded, "every upstream has got as many requests as it takes")
	at, ok := returns.Reserve(now, now.Add(maxReturnAfter), share)
	err.RetryAt, err.Final = at, !ok
	return err
}

// engineNames returns the names of the engines of a bundle.
func engineNames(b *checker.Bundle) []string {
	names := make([]string, 0, len(b.Upstreams))
	for _, u := range b.Upstreams {
		if u.Kind == checker.Engine {
			names = append(names, u.Name)
		}
	}
	return names
}
