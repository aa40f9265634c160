package retrier

import (
	"math/rand/v2"
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
)

// cooldownJitter is the maximum fraction by which a cooldown is extended at
// random, so that routers do not all probe an upstream at the same time.
const cooldownJitter = 0.25

// Config configures a Retrier.
type Config struct {
	Policy checker.AttemptPolicy
	// Seed is the seed of the cooldown jitter. It must differ between routers.
	Seed uint64
}

// Retrier tracks the retry budget of one router and the health of its
// upstreams. It is not safe for concurrent use.
type Retrier struct {
	policy checker.AttemptPolicy
	budget budget
	rng    *rand.Rand
	// records is keyed by the name of the upstream. An upstream without a
	// record is healthy.
	records map[string]*healthRecord
}

// New returns a Retrier that regards every upstream as healthy.
func New(cfg Config) *Retrier {
	return &Retrier{
		policy:  cfg.Policy,
		budget:  newBudget(cfg.Policy.RetryBudget),
		rng:     rand.New(rand.NewPCG(cfg.Seed, 0)),
		records: make(map[string]*healthRecord),
	}
}

// SetPolicy applies the policy of a new bundle. Upstreams that refused the
// router's credentials are no longer excluded, and the health of those not in
// names is dropped.
func (r *Retrier) SetPolicy(policy checker.AttemptPolicy, names []string) {
	r.policy = policy
	r.budget.perRequest = policy.RetryBudget
	kept := make(map[string]*healthRecord, len(r.records))
	for _, name := range names {
		if rec, ok := r.records[name]; ok {
			rec.excluded = false
			kept[name] = rec
		}
	}
	r.records = kept
}

// RecordRequest records a new request, which adds to the retry budget.
func (r *Retrier) RecordRequest(now time.Time) {
	r.budget.depositRequest(now)
}

// DecideRetry decides whether a failed attempt may be retried. An allowed retry
// is withdrawn from the budget.
func (r *Retrier) DecideRetry(now time.Time, request Request, failure Failure) Decision {
	if reason := r.disallowedReason(now, request, failure); reason != "" {
		return Decision{Reason: reason}
	}
	if !r.budget.withdraw(now) {
		return Decision{Reason: OutOfBudget, RetryAt: r.budget.nextTokenAt(now)}
	}
	return Decision{Retry: true, Reason: Allowed}
}

// disallowedReason returns why a retry is not allowed even within the budget,
// or an empty reason.
func (r *Retrier) disallowedReason(now time.Time, request Request, failure Failure) Reason {
	switch {
	case failure.Origin != FromUpstream:
		return NotFromUpstream
	case failure.Delivered:
		return PartDelivered
	case !failure.NotRun && !request.Idempotent:
		return NotIdempotent
	case request.Attempts >= r.policy.MaxAttempts:
		return OutOfAttempts
	case !request.Deadline.IsZero() && !now.Before(request.Deadline):
		return DeadlinePassed
	}
	return ""
}

// Health returns the health of one upstream, regardless of the others.
func (r *Retrier) Health(now time.Time, upstream string) Health {
	return r.records[upstream].health(now)
}

// CandidateHealth returns the health of each candidate of a request. It is
// Unknown for all of them if all are unhealthy, or a larger share than the
// bundle's max_ejected.
func (r *Retrier) CandidateHealth(now time.Time, candidates []string) []Health {
	healths := make([]Health, len(candidates))
	unhealthy := 0
	for i, name := range candidates {
		healths[i] = r.Health(now, name)
		if healths[i] != Healthy {
			unhealthy++
		}
	}
	if unhealthy < len(candidates) && float64(unhealthy) <= r.policy.MaxEjected*float64(len(candidates)) {
		return healths
	}
	for i := range healths {
		healths[i] = Unknown
	}
	return healths
}

// BeginAttempt records that an attempt is about to be sent to an upstream,
// which becomes the probe if one is due. known is the health of the upstream
// among the candidates. It returns false if the attempt must not be sent, such
// as when another attempt has become the probe since.
func (r *Retrier) BeginAttempt(now time.Time, upstream string, known Health) bool {
	rec := r.records[upstream]
	if known == Unknown || rec == nil {
		return true
	}
	switch rec.health(now) {
	case Healthy:
		return true
	case Probe:
		rec.probeUntil = now.Add(r.policy.Cooldown.Std())
		return true
	default:
		return false
	}
}
