package starter

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/operating/reserver"
)

// TestSharesOfMemoryFitItsLimit guards against a soft limit and a budget that together exceed
// the memory of a process.
func TestSharesOfMemoryFitItsLimit(t *testing.T) {
	t.Parallel()
	const connections, unreadBytes = 2460, 12 << 10
	for _, mb := range []int64{64, 96, 134, 160, 284, 536, 2048} {
		t.Run(fmt.Sprint(mb), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			limit := mb << 20
			clients := reserver.Total(clientMemory(limit))
			unread := min(connections, clients/reserver.ConnectionBytes) * unreadBytes
			is.True(clients < softLimit(limit))
			is.True(programBytes+softLimit(limit)+unread <= limit)
		})
	}
}
