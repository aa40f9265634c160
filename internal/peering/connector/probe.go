package connector

import (
	"context"
	"net/netip"

	"gentianstep.example/gentianstep/internal/peering/messenger"
)

// probe sends one message over a new connection. It shows whether a controller is
// still alive when the established connection has gone silent.
type probe struct {
	group   *Group
	address netip.AddrPort
	message messenger.Message
}

// run sends the message and passes the first membership message received to
// OnMessage.
func (p *probe) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c := New(p.group.cfg.Connector)
	s, err := c.connect(ctx, p.address)
	if err != nil {
		return
	}
	defer s.conn.Close()
	if s.conn.Write(ctx, p.message) != nil {
		return
	}
	for {
		m, err := s.conn.Read(ctx)
		if err != nil {
			return
		}
		if m.Membership != nil {
			s.cfg.OnMessage(m)
			return
		}
	}
}
