package connector

import (
	"context"
	"time"
)

// groupConnection is one connection of a Group.
type groupConnection struct {
	connector *Connector
	// permanent exempts the connection from the idle timeout. The Group's mutex
	// guards it and usedAt.
	permanent bool
	usedAt    time.Time
	// idle is closed when the idle timeout has passed.
	idle chan struct{}
}

// run maintains the connection until it is idle for too long or ctx is done.
func (c *groupConnection) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.cancelWhenIdle(ctx, cancel)
	c.connector.Run(ctx)
}

func (c *groupConnection) cancelWhenIdle(ctx context.Context, cancel context.CancelFunc) {
	defer cancel()
	select {
	case <-c.idle:
	case <-ctx.Done():
	}
}
