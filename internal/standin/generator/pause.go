package generator

import (
	"context"
	"time"

	"gentianstep.example/gentianstep/internal/operating/pauser"
)

// Pause waits for d. If ctx ends first, it returns the error of ctx.
func Pause(ctx context.Context, d time.Duration) error {
	if pauser.Pause(ctx, d) {
		return nil
	}
	return ctx.Err()
}
