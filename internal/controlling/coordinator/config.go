// Package coordinator holds the soft state of a controller: which upstreams
// it reads, its part of the prefix index and the reports it has.
package coordinator

import (
	"context"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/peering/messenger"
)

// Member is a live controller.
type Member struct {
	Node   string
	Region string
}

// Peers sends messages to other controllers by their node names.
type Peers interface {
	// Send reports whether m was queued for node.
	Send(node string, m messenger.Message) bool
	// Connected reports whether messages can be queued for node now.
	Connected(node string) bool
}

// Routers sends messages to the routers that are connected to this controller.
type Routers interface {
	Broadcast(m messenger.Message)
}

// Readers starts the reading of an engine's cache events and reports. It ends
// with ctx.
type Readers interface {
	Start(ctx context.Context, u checker.Upstream)
}

// Config holds what a Coordinator is built from.
type Config struct {
	Self    Member
	Peers   Peers
	Routers Routers
	Readers Readers
	Index   indexer.Config
	Log     *logrus.Entry
}
