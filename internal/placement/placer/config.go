// Package placer places models in one region while its node holds the
// region's lease: it observes, plans, sends orders and logs each of them.
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
	// tick is the time between two plans.
	tick = time.Second
	// reportLimit bounds the reports of upstreams that are kept.
	reportLimit = 4096
)

// Holder tells whether this node holds the region's lease.
type Holder interface {
	Holding(now time.Time) (leaser.Holding, bool)
}

// Sender sends one order.
type Sender interface {
	Send(ctx context.Context, address netip.AddrPort, m orderer.Message) (planner.Outcome, error)
}

// Config holds what a Placer is built from.
type Config struct {
	Region  string
	Node    string
	Bundles *holder.Holder
	Lease   Holder
	Orders  Sender
	Log     *logrus.Entry
}
