package timekeeper_test

import (
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/operating/timekeeper"
)

// TestSuspendedIsWithinSinceBoot reads the real clocks: a VM cannot have been suspended for
// longer than since it booted.
func TestSuspendedIsWithinSinceBoot(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	suspended, sinceBoot := timekeeper.Suspended(), timekeeper.SinceBoot()
	is.True(sinceBoot > 0)
	is.True(suspended >= 0)
	is.True(suspended < sinceBoot)
}
