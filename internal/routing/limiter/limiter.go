package limiter

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// reviewPeriod is the time between two corrections of a part. It is no
	// shorter than staleAfter, so that a part grows once at most on the same
	// reports.
	reviewPeriod = staleAfter
	// burstTime is the time whose requests may come at once.
	burstTime = time.Second
	// minBurst is the smallest number of requests that may come at once.
	minBurst = 3
	// minLiveShare is the share of the listed routers below which the number of
	// live ones is not believed.
	minLiveShare = 0.5
)

// Limiter is one router's part of the limits. It is used by one goroutine at
// a time.
type Limiter struct {
	limits  map[string]float64
	routers int
	buckets map[string]*bucket
}

// bucket is one organisation at this router.
type bucket struct {
	tokens   *rate.Limiter
	use      meter
	reports  reports
	reviewAt time.Time
	// reviewed is when the part was last worked out.
	reviewed time.Time
}

// Decision answers whether a request is within the limit.
type Decision struct {
	Allowed bool
	// RetryAt is when this router has room again.
	RetryAt time.Time
}

// New returns a Limiter without limits.
func New() *Limiter {
	return &Limiter{routers: 1, buckets: make(map[string]*bucket)}
}

// SetLimits takes the limits of a bundle in requests a second over the fleet.
// An organisation without one, or with 0, is not limited.
func (l *Limiter) SetLimits(limits map[string]float64) {
	l.limits = limits
	for name, b := range l.buckets {
		if limits[name] <= 0 {
			delete(l.buckets, name)
			continue
		}
		b.reviewAt = time.Time{}
	}
}

// SetMembers takes the number of routers that membership has as live and that
// the platform's list names, with this one in both.
func (l *Limiter) SetMembers(live, listed int) {
	least := int(math.Ceil(minLiveShare * float64(listed)))
	l.routers = max(live, least, 1)
	for _, b := range l.buckets {
		b.reviewAt = time.Time{}
	}
}

// ObserveUse takes in what others use. Reports about the same routers come
// from one peer only, either from each router or from one that sums them up.
func (l *Limiter) ObserveUse(now time.Time, u Use) {
	if l.limits[u.Organisation] <= 0 {
		return
	}
	l.bucket(now, u.Organisation).reports.observe(now, u)
}

// Allow decides on one request.
func (l *Limiter) Allow(now time.Time, organisation string) Decision {
	if l.limits[organisation] <= 0 {
		return Decision{Allowed: true}
	}
	b := l.bucket(now, organisation)
	l.review(now, organisation, b)
	if b.tokens.AllowN(now, 1) {
		b.use.add(now)
		return Decision{Allowed: true}
	}
	missing := 1 - b.tokens.TokensAt(now)
	wait := time.Duration(missing / float64(b.tokens.Limit()) * float64(time.Second))
	return Decision{RetryAt: now.Add(max(wait, time.Millisecond))}
}

// Uses returns this router's own use of each limited organisation, for others.
func (l *Limiter) Uses(now time.Time, self string) []Use {
	uses := make([]Use, 0, len(l.buckets))
	for name, b := range l.buckets {
		uses = append(uses, Use{Peer: self, Organisation: name, Rate: b.use.value(now), Routers: 1})
	}
	return uses
}

// Share returns this router's part of an organisation's limit, 0 for no limit.
func (l *Limiter) Share(now time.Time, organisation string) float64 {
	if l.limits[organisation] <= 0 {
		return 0
	}
	b := l.bucket(now, organisation)
	l.review(now, organisation, b)
	return float64(b.tokens.Limit())
}

// bucket returns the bucket of an organisation. A new one holds one request,
// so that a restart brings no fresh burst.
func (l *Limiter) bucket(now time.Time, organisation string) *bucket {
	b, ok := l.buckets[organisation]
	if ok {
		return b
	}
	even := l.limits[organisation] / float64(l.routers)
	b = &bucket{tokens: rate.NewLimiter(rate.Limit(even), minBurst), reports: make(reports)}
	b.tokens.AllowN(now, minBurst-1)
	l.buckets[organisation] = b
	return b
}

// review works out the part of the limit anew where that is due. A clock that
// jumped back makes it due as well.
func (l *Limiter) review(now time.Time, organisation string, b *bucket) {
	if now.Before(b.reviewAt) && !now.Before(b.reviewed) {
		return
	}
	v := view{limit: l.limits[organisation], routers: l.routers, own: b.use.value(now)}
	v.others, v.heard = b.reports.sum(now, "")
	share := v.share()
	b.tokens.SetLimitAt(now, rate.Limit(share))
	b.tokens.SetBurstAt(now, max(minBurst, int(share*burstTime.Seconds())))
	b.reviewed = now
	b.reviewAt = now.Add(reviewPeriod)
}
