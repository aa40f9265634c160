// Package connector keeps a connection to a controller open.
package connector

import (
	"net/http"
	"net/netip"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/holder"
	"gentianstep.example/gentianstep/internal/peering/messenger"
)

// Config holds what a Connector is built from.
type Config struct {
	Hello messenger.Hello
	// Addresses are tried in order, the first one again after every failure.
	Addresses []netip.AddrPort
	Holder    *holder.Holder
	// OnUp is told of the other end of each new connection, OnDown of its end.
	OnUp   func(messenger.Hello)
	OnDown func(messenger.Hello)
	// OnMessage takes every message that is not about the bundle. It must not
	// block.
	OnMessage func(messenger.Message)
	Client    *http.Client
	Log       *logrus.Entry
}

// withDefaults makes every callback callable.
func (c Config) withDefaults() Config {
	if c.OnUp == nil {
		c.OnUp = func(messenger.Hello) {}
	}
	if c.OnDown == nil {
		c.OnDown = func(messenger.Hello) {}
	}
	if c.OnMessage == nil {
		c.OnMessage = func(messenger.Message) {}
	}
	return c
}
