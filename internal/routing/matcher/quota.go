package matcher

import "fmt"

// maxQuotaAmount bounds the amounts of a quota, so that sums of them stay exact.
const maxQuotaAmount = 1e12

// Quota bounds what all VMs together run for an organisation. The zero value sets no bound.
type Quota struct {
	// PerSecond and Burst are the rate and the capacity of a token bucket.
	PerSecond float64
	Burst     float64
	// Tokens is true if PerSecond and Burst count the tokens of prompts and of the longest
	// output, false if they count requests.
	Tokens bool
	// PlainTokens is the number of tokens of a request that states none.
	PlainTokens float64
}

// Limited reports whether the quota sets a bound.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// Amount returns what a request with a number of tokens uses of the quota; 0 tokens means
// that the request states none.
func (q Quota) Amount(tokens float64) float64 {
	switch {
	case !q.Tokens:
		return 1
	case tokens <= 0:
		return q.PlainTokens
	}
	return min(tokens, maxQuotaAmount)
}

func (q Quota) check() error {
	amounts := []struct {
		name  string
		value float64
	}{{"rate", q.PerSecond}, {"burst", q.Burst}, {"plain tokens", q.PlainTokens}}
	for _, a := range amounts {
		if !(a.value >= 0 && a.value <= maxQuotaAmount) {
			return fmt.Errorf("quota: %s: got %v, want 0 to %v", a.name, a.value, maxQuotaAmount)
		}
	}
	return nil
}
