// Package placer controls which models the engines of one region load. While
// its node holds the region's lease, it plans from the reports of the engines,
// sends orders and logs each of them.
package placer

import (
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/holder"
	"gentianstep.example/gentianstep/internal/placement/leaser"
	"gentianstep.example/gentianstep/internal/placement/orderer"
	"gentianstep.example/gentianstep/internal/placement/planner"
)

const (
	// planInterval is the time between two plans.
	planInterval = time.Second
	// maxReports limits the number of upstreams whose reports are kept.
	maxReports = 4096
)

// Holder returns the region's lease if this node holds it.
type Holder interface {
	Holding(now time.Time) (leaser.Lease, bool)
}

// Sender sends one order to an engine and returns its outcome.
type Sender interface {
	Send(ctx context.Context, address netip.AddrPort, m orderer.Message) (planner.Outcome, error)
}

// Config holds the dependencies and settings of a Placer.
type Config struct {
	Region  string
	Node    string
	Bundles *holder.Holder
	Lease   Holder
	Orders  Sender
	Log     *logrus.Entry
}
