package connector

import (
	"context"
	"time"
)

// kept is a connection that a Group keeps.
type kept struct {
	connector *Connector
	// always is true where it stays without use; the Group's mutex guards it
	// and usedAt.
	always bool
	usedAt time.Time
	ended  chan struct{}
}

// run keeps the connection until it is no longer used or ctx ends.
func (k *kept) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go k.runEnd(ctx, cancel)
	k.connector.Run(ctx)
}

func (k *kept) runEnd(ctx context.Context, cancel context.CancelFunc) {
	defer cancel()
	select {
	case <-k.ended:
	case <-ctx.Done():
	}
}
