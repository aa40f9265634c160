package retrier

import "time"

const (
	// minRetriesPerSecond is the rate of retries that is allowed without any
	// traffic.
	minRetriesPerSecond = 0.1
	// maxBudgetTokens is the capacity of the token bucket.
	maxBudgetTokens = 10
)

// budget is a token bucket of retries. Each new request adds a fraction of a
// token, and time adds tokens at minRetriesPerSecond.
type budget struct {
	// perRequest is the number of tokens that a new request adds.
	perRequest float64
	tokens     float64
	// refilledAt is the time of the last refill, zero before the first.
	refilledAt time.Time
}

func newBudget(perRequest float64) budget {
	return budget{perRequest: perRequest, tokens: 1}
}

// refill adds tokens for the time since the last refill. It adds none if the
// clock was set back.
func (b *budget) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	first := b.refilledAt.IsZero()
	b.refilledAt = now
	if !first && elapsed > 0 {
		b.add(elapsed * minRetriesPerSecond)
	}
}

func (b *budget) add(tokens float64) { b.tokens = min(b.tokens+tokens, maxBudgetTokens) }

// depositRequest adds the tokens of a new request.
func (b *budget) depositRequest(now time.Time) {
	b.refill(now)
	b.add(b.perRequest)
}

// withdraw takes the token for a retry. It returns false if there is none.
func (b *budget) withdraw(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// nextTokenAt returns when the bucket holds a token, without further requests.
func (b *budget) nextTokenAt(now time.Time) time.Time {
	missing := max(1-b.tokens, 0)
	return now.Add(time.Duration(missing / minRetriesPerSecond * float64(time.Second)))
}
