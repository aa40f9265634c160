// Package connector maintains WebSocket connections to controllers and reconnects
// with back-off.
package connector

import (
	"net/http"
	"net/netip"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/holder"
	"gentianstep.example/gentianstep/internal/peering/messenger"
)

// Config configures a Connector.
type Config struct {
	// Hello is sent first on each connection; its BundleVersion is filled in.
	Hello messenger.Hello
	// Addresses of controllers are dialled in this order, from the start after each
	// failure.
	Addresses []netip.AddrPort
	Holder    *holder.Holder
	// OnConnect is called with the peer of each new connection, OnDisconnect after a
	// connection has ended.
	OnConnect    func(messenger.Hello)
	OnDisconnect func(messenger.Hello)
	// OnMessage is called with each message that is not about the bundle. It must
	// not block.
	OnMessage func(messenger.Message)
	Client    *http.Client
	Log       *logrus.Entry
}

// withDefaults replaces nil callbacks by functions that do nothing.
func (c Config) withDefaults() Config {
	if c.OnConnect == nil {
		c.OnConnect = func(messenger.Hello) {}
	}
	if c.OnDisconnect == nil {
		c.OnDisconnect = func(messenger.Hello) {}
	}
	if c.OnMessage == nil {
		c.OnMessage = func(messenger.Message) {}
	}
	return c
}
