package caller

import (
	"context"
	"io"
	"net/netip"
	"time"
)

// endCheckTimeout bounds the connection that shows whether an upstream has crashed. Ports
// without a listener refuse it within a round trip.
const endCheckTimeout = 250 * time.Millisecond

// CheckEnd returns io.ErrUnexpectedEOF if a response of the upstream at an address that has
// ended is not known to be complete: it does not state where it ends, and the upstream has
// crashed.
func (c *Caller) CheckEnd(ctx context.Context, address netip.AddrPort, a *Response) error {
	if a.Framed {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	if c.IsRefused(ctx, address) {
		return io.ErrUnexpectedEOF
	}
	return nil
}
