package matcher_test

import (
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/routing/matcher"
)

// TestQuotaAmount guards against requests that use nothing of a quota, and against sums
// that a huge number of tokens overflows.
func TestQuotaAmount(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tokens := matcher.Quota{PerSecond: 1000, Tokens: true, PlainTokens: 200}
	is.Equal(tokens.Amount(1540), 1540.0)
	is.Equal(tokens.Amount(0), 200.0)
	is.Equal(tokens.Amount(-5), 200.0)
	is.Equal(tokens.Amount(1e300), 1e12)
	is.Equal(matcher.Quota{PerSecond: 3}.Amount(1540), 1.0)
}
