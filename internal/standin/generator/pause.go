package generator

import (
	"context"
	"time"

	"gentianstep.example/gentianstep/internal/operating/pauser"
)

// Pause waits for d, or less where ctx ends first.
func Pause(ctx context.Context, d time.Duration) error {
	if pauser.Pause(ctx, d) {
		return nil
	}
	return ctx.Err()
}
