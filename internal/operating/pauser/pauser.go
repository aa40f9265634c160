// Package pauser provides a context-aware sleep.
package pauser

import (
	"context"
	"time"
)

// Pause sleeps for d or until ctx is done and reports whether d elapsed first. If d
// is not positive, it only reports whether ctx is not done.
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
