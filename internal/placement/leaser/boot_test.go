package leaser

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSuspendedVMLosesItsHolding has a steady clock that stood still and a wall
// clock that was set back, while the VM was suspended past its deadline.
func TestSuspendedVMLosesItsHolding(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Now()
	h := Holding{Fencing: 1, Deadline: now.Add(time.Second), endsAtBoot: bootDeadline(time.Second)}
	is.True(h.Valid(now))
	h.endsAtBoot = sinceBoot() // the suspension used it up
	is.True(!h.Valid(now))
}
