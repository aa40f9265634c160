package leaser

import (
	"bytes"
	"context"
	"errors"

	"gentianstep.example/gentianstep/internal/platform/storer"
)

// release revokes the lease, so that another node can acquire it without
// waiting for it to expire.
func (l *Leaser) release(durations Durations) {
	l.setLease(Lease{})
	ctx, cancel := context.WithTimeout(context.Background(), durations.safetyMargin())
	defer cancel()
	entry, err := l.cfg.Store.Get(ctx, l.cfg.Key)
	known := err == nil || errors.Is(err, storer.ErrNotFound)
	if !known || entry.Era == l.granted.Era {
		_ = l.cfg.Store.Revoke(ctx, l.granted)
		return
	}
	// The ID of the lease may belong to another node, which the key is bound to if it was
	// written in the new era.
	if bytes.Equal(entry.Value, l.value) {
		_ = l.cfg.Store.Delete(ctx, l.cfg.Key, entry.Version())
	}
}
