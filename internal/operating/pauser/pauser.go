// Package pauser lets loops wait.
package pauser

import (
	"context"
	"time"
)

// Pause waits for d and reports whether it went by before ctx ended.
func Pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
