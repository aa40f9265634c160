package retrier

import (
	"math/rand/v2"
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
)

// cooldownJitter is the largest share by which a cooldown is lengthened at
// random, so that routers do not probe an upstream all at once.
const cooldownJitter = 0.25

// Config holds what a Retrier is built from.
type Config struct {
	Policy checker.AttemptPolicy
	// Seed starts the jitter of cooldowns; routers take different ones.
	Seed uint64
}

// Retrier keeps the retry budget of one router and the health of its
// upstreams. It is used by one goroutine at a time.
type Retrier struct {
	policy  checker.AttemptPolicy
	budget  budget
	rng     *rand.Rand
	records map[string]*record
}

// New returns a Retrier to which every upstream is healthy.
func New(cfg Config) *Retrier {
	return &Retrier{
		policy:  cfg.Policy,
		budget:  newBudget(cfg.Policy.RetryBudget),
		rng:     rand.New(rand.NewPCG(cfg.Seed, 0)),
		records: make(map[string]*record),
	}
}

// SetPolicy puts the policy of a new bundle in force. Upstreams that refused
// the router's credentials are tried again, and those not in names forgotten.
func (r *Retrier) SetPolicy(policy checker.AttemptPolicy, names []string) {
	r.policy = policy
	r.budget.share = policy.RetryBudget
	kept := make(map[string]*record, len(r.records))
	for _, name := range names {
		if rec, ok := r.records[name]; ok {
			rec.excluded = false
			kept[name] = rec
		}
	}
	r.records = kept
}

// Start counts a new request, which earns its share of the retry budget.
func (r *Retrier) Start(now time.Time) {
	r.budget.deposit(now)
}

// Next decides whether a failed attempt may be made again. An allowed retry
// is taken from the budget.
func (r *Retrier) Next(now time.Time, request Request, failure Failure) Decision {
	if reason := r.barred(now, request, failure); reason != "" {
		return Decision{Reason: reason}
	}
	if !r.budget.withdraw(now) {
		return Decision{Reason: OutOfBudget, RetryAt: r.budget.nextAt(now)}
	}
	return Decision{Retry: true, Reason: Allowed}
}

// barred returns why the attempt may not be made again whatever the budget.
func (r *Retrier) barred(now time.Time, request Request, failure Failure) Reason {
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

// Health returns the health of one upstream by itself.
func (r *Retrier) Health(now time.Time, upstream string) Health {
	return r.records[upstream].health(now)
}

// Healths returns the health of each candidate of a request. It is Unknown
// for all of them where more than the bundle's share is left out, or everyone.
func (r *Retrier) Healths(now time.Time, candidates []string) []Health {
	healths := make([]Health, len(candidates))
	ejected := 0
	for i, name := range candidates {
		healths[i] = r.Health(now, name)
		if healths[i] != Healthy {
			ejected++
		}
	}
	if ejected < len(candidates) && float64(ejected) <= r.policy.MaxEjected*float64(len(candidates)) {
		return healths
	}
	for i := range healths {
		healths[i] = Unknown
	}
	return healths
}

// Send notes that an attempt goes to the upstream, whose health among the
// candidates was known. It reports false where the attempt has to choose
// another one, because the single probe was taken in between.
func (r *Retrier) Send(now time.Time, upstream string, known Health) bool {
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
