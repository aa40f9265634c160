package starter

import (
	"gentianstep.example/gentianstep/internal/placement/leaser"
	"gentianstep.example/gentianstep/internal/placement/orderer"
	"gentianstep.example/gentianstep/internal/placement/placer"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

// newPlacement creates the components that place models on the engines of the
// controller's region.
func (c *control) newPlacement() {
	c.leaser = leaser.New(leaser.Config{
		Store:     c.store,
		Key:       leaser.Key(c.settings.Deployment, c.settings.Region),
		Node:      c.settings.Node,
		Durations: c.leaseDurations,
		Log:       c.log,
	})
	c.placer = placer.New(placer.Config{
		Region:  c.settings.Region,
		Node:    c.settings.Node,
		Bundles: c.bundles,
		Lease:   c.leaser,
		Orders:  orderer.New(orderer.Config{Client: c.orders}),
		Log:     c.log,
	})
}

// leaseDurations returns the lease durations from the bundle in force, or false
// if there is none.
func (c *control) leaseDurations() (leaser.Durations, bool) {
	current := c.bundles.Current()
	if current == nil {
		return leaser.Durations{}, false
	}
	policy := current.Bundle.Policy.Placement
	return leaser.Durations{TTL: policy.LeaseTTL.Std(), OrderTimeout: policy.OrderTimeout.Std()}, true
}

// handleReports passes the reports of one polling round to the components that
// use them.
func (c *control) handleReports(reports []observer.Report) {
	c.processes.RecordReports(reports)
	c.placer.RecordReports(reports)
	c.departures.handleReports(reports)
	c.coordinator.ReceiveReports(reports)
}
