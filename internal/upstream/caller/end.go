package caller

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"
)

const (
	// endCheckTimeout bounds the connection that shows whether an upstream has crashed. Ports
	// without a listener refuse it within a round trip.
	endCheckTimeout = 250 * time.Millisecond
	// probeTimeout bounds the wait for the end of an idle connection, which a crash ends
	// together with that of the response. A process that ends closes its listener and its
	// connections one after the other, so that the wait is longer once its port refuses.
	probeTimeout        = 10 * time.Millisecond
	refusedProbeTimeout = 250 * time.Millisecond
	// maxReadDelay is the longest time between the end of an idle connection and the read of
	// the last byte that its process has sent before.
	maxReadDelay = 100 * time.Millisecond
)

// errUpstreamEnded is returned for a response without a length whose upstream has crashed.
var errUpstreamEnded = fmt.Errorf("upstream has ended with its response: %w", io.ErrUnexpectedEOF)

// CheckEnd returns io.ErrUnexpectedEOF if a response of the upstream at an address that has
// ended is not known to be complete: it does not state where it ends, and the upstream has
// crashed. That is shown by an idle connection that was open before the response ended, or
// else by its port. Another process may listen there by now, and an upstream that shuts down
// may not listen any more.
func (c *Caller) CheckEnd(ctx context.Context, address netip.AddrPort, a *Response) error {
	if a.Framed {
		return nil
	}
	dialCtx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	refused := c.IsRefused(dialCtx, address)
	crashed := refused || a.probe.wasRefused()
	if a.probe.isEvidence(a.lastByteAt) {
		wait := probeTimeout
		if crashed {
			wait = refusedProbeTimeout
		}
		probeCtx, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		crashed = a.probe.hasEnded(probeCtx)
	}
	if crashed {
		c.countBroken(BrokenCutOff)
		return errUpstreamEnded
	}
	return nil
}
