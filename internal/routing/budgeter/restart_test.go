package budgeter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/routing/budgeter"
)

// TestRestartedFleetStaysWithinBudget checks the retries of VMs that have all just
// started and learn of each other later, and of a VM whose process was replaced.
func TestRestartedFleetStaysWithinBudget(t *testing.T) {
	t.Parallel()
	const tries = 100
	cfg := budgeter.Config{Ratio: 0.2, Extra: 58, Window: 10 * time.Second}
	rows := map[string]struct {
		known     int // VMs that a process knows of
		processes int // that start within a window
	}{
		"VMs that do not know of each other yet": {known: 1, processes: 3},
		"process replaced within a window":       {known: 3, processes: 4},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			cfg := cfg
			now, retries := time.Unix(0, 0), 0
			var b *budgeter.Budgeter
			for range row.processes {
				cfg.StartedAt = now
				b = budgeter.New(cfg)
				b.SetVMs(row.known)
				for range tries {
					if b.AllowRetry(now, "s") {
						retries++
					}
				}
				now = now.Add(time.Second)
			}
			t.Logf("%d retries", retries)
			is.True(retries <= cfg.Extra) // the fixed allowance of one window
			is.True(!b.AllowRetry(cfg.StartedAt.Add(cfg.Window-1), "s"))
			is.True(b.AllowRetry(cfg.StartedAt.Add(cfg.Window), "s"))
		})
	}
}
