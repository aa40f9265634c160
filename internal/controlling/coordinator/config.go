// Package coordinator maintains the soft state of a controller: the upstreams whose
// cache events it reads, and its partition of the prefix index. It also distributes the
// reports of these upstreams and answers lookups in the index.
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
	// Connected reports whether there is a connection on which messages can be
	// queued for node.
	Connected(node string) bool
}

// Routers sends messages to the routers connected to this controller.
type Routers interface {
	Broadcast(m messenger.Message)
}

// Readers starts readers of the cache events and reports of engines.
type Readers interface {
	// Start starts a reader of u that runs until ctx is cancelled.
	Start(ctx context.Context, u checker.Upstream)
}

// Config configures a Coordinator.
type Config struct {
	// Self describes this controller.
	Self    Member
	Peers   Peers
	Routers Routers
	Readers Readers
	Index   indexer.Config
	Log     *logrus.Entry
}
