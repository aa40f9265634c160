package retrier

import "time"

const (
	// floorPerSecond is the number of retries a second that a router may make
	// however little traffic it has.
	floorPerSecond = 0.1
	// budgetBurst is the largest number of unspent retries that is kept.
	budgetBurst = 10
)

// budget is a token bucket of retries that fills with each new request.
type budget struct {
	share  float64
	tokens float64
	at     time.Time
}

func newBudget(share float64) budget {
	return budget{share: share, tokens: 1}
}

// advance adds the floor for the time that went by. A clock that jumps back
// adds nothing.
func (b *budget) advance(now time.Time) {
	passed := now.Sub(b.at).Seconds()
	first := b.at.IsZero()
	b.at = now
	if !first && passed > 0 {
		b.add(passed * floorPerSecond)
	}
}

func (b *budget) add(tokens float64) { b.tokens = min(b.tokens+tokens, budgetBurst) }

func (b *budget) deposit(now time.Time) {
	b.advance(now)
	b.add(b.share)
}

func (b *budget) withdraw(now time.Time) bool {
	b.advance(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// nextAt returns when the floor alone has filled one token.
func (b *budget) nextAt(now time.Time) time.Time {
	missing := max(1-b.tokens, 0)
	return now.Add(time.Duration(missing / floorPerSecond * float64(time.Second)))
}
