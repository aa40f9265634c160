package limiter

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// shareUpdateInterval is the time between two updates of a share. It is not
	// shorter than staleAfter, so that a share grows at most once on the basis
	// of the same reports.
	shareUpdateInterval = staleAfter
	// burstDuration is the length of time for which the share may be used at once.
	burstDuration = time.Second
	// minBurst is the lowest burst size in requests.
	minBurst = 3
	// minLiveFraction bounds the number of live routers from below, as a fraction
	// of the listed routers. During a network partition the live count may be
	// far too low, and the shares would exceed the limit.
	minLiveFraction = 0.5
)

// Limiter enforces one router's share of the organisation limits. It is not safe
// for concurrent use.
type Limiter struct {
	limits  map[string]float64
	routers int
	buckets map[string]*bucket
}

// bucket is the token bucket of one organisation at this router.
type bucket struct {
	tokens       *rate.Limiter
	usage        meter
	reports      reports
	nextUpdateAt time.Time
	// updatedAt is the time of the last update of the share.
	updatedAt time.Time
}

// Decision is the result of Allow.
type Decision struct {
	Allowed bool
	// RetryAt is the time at which a refused request may be retried at this
	// router.
	RetryAt time.Time
}

// New returns a Limiter without limits for a single router.
func New() *Limiter {
	return &Limiter{routers: 1, buckets: make(map[string]*bucket)}
}

// SetLimits replaces the limits, in requests per second over all routers. An
// organisation without a limit, or with a limit of 0, is not limited.
func (l *Limiter) SetLimits(limits map[string]float64) {
	l.limits = limits
	for name, b := range l.buckets {
		if limits[name] <= 0 {
			delete(l.buckets, name)
			continue
		}
		b.nextUpdateAt = time.Time{}
	}
}

// SetRouterCounts sets the number of routers that are live by membership and the
// number that are on the platform's VM list. Both include this router. The
// limits are shared between the live routers, or half of the listed ones if
// fewer are live.
func (l *Limiter) SetRouterCounts(live, listed int) {
	minRouters := int(math.Ceil(minLiveFraction * float64(listed)))
	l.routers = max(live, minRouters, 1)
	for _, b := range l.buckets {
		b.nextUpdateAt = time.Time{}
	}
}

// ObserveUsage records the usage of other routers. Each router must be reported
// by one peer only, either by itself or by a Collector that includes it in a
// sum.
func (l *Limiter) ObserveUsage(now time.Time, u Usage) {
	if l.limits[u.Organisation] <= 0 {
		return
	}
	l.bucket(now, u.Organisation).reports.observe(now, u)
}

// Allow decides whether one request is within the limit of its organisation.
func (l *Limiter) Allow(now time.Time, organisation string) Decision {
	if l.limits[organisation] <= 0 {
		return Decision{Allowed: true}
	}
	b := l.bucket(now, organisation)
	l.updateShare(now, organisation, b)
	if b.tokens.AllowN(now, 1) {
		b.usage.add(now)
		return Decision{Allowed: true}
	}
	missing := 1 - b.tokens.TokensAt(now)
	wait := time.Duration(missing / float64(b.tokens.Limit()) * float64(time.Second))
	return Decision{RetryAt: now.Add(max(wait, time.Millisecond))}
}

// OwnUsage returns this router's usage for each limited organisation, with self
// as peer name.
func (l *Limiter) OwnUsage(now time.Time, self string) []Usage {
	usages := make([]Usage, 0, len(l.buckets))
	for name, b := range l.buckets {
		usages = append(usages, Usage{Peer: self, Organisation: name, Rate: b.usage.value(now), Routers: 1})
	}
	return usages
}

// Share returns this router's share of an organisation's limit in requests per
// second, or 0 for no limit.
func (l *Limiter) Share(now time.Time, organisation string) float64 {
	if l.limits[organisation] <= 0 {
		return 0
	}
	b := l.bucket(now, organisation)
	l.updateShare(now, organisation, b)
	return float64(b.tokens.Limit())
}

// bucket returns the token bucket of an organisation. A new bucket starts with
// one token, so that a restart doesn't allow a full burst.
func (l *Limiter) bucket(now time.Time, organisation string) *bucket {
	b, ok := l.buckets[organisation]
	if ok {
		return b
	}
	evenShare := l.limits[organisation] / float64(l.routers)
	b = &bucket{tokens: rate.NewLimiter(rate.Limit(evenShare), minBurst), reports: make(reports)}
	b.tokens.AllowN(now, minBurst-1)
	l.buckets[organisation] = b
	return b
}

// updateShare recomputes the share of the limit if an update is due. An update is
// also due after a backward clock step, which would otherwise delay the next one.
func (l *Limiter) updateShare(now time.Time, organisation string, b *bucket) {
	if now.Before(b.nextUpdateAt) && !now.Before(b.updatedAt) {
		return
	}
	in := shareInputs{limit: l.limits[organisation], routers: l.routers, own: b.usage.value(now)}
	in.others, in.reporting = b.reports.sum(now, "")
	share := in.share()
	b.tokens.SetLimitAt(now, rate.Limit(share))
	b.tokens.SetBurstAt(now, max(minBurst, int(share*burstDuration.Seconds())))
	b.updatedAt = now
	b.nextUpdateAt = now.Add(shareUpdateInterval)
}
