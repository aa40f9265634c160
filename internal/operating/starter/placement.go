package starter

import (
	"gentianstep.example/gentianstep/internal/placement/leaser"
	"gentianstep.example/gentianstep/internal/placement/orderer"
	"gentianstep.example/gentianstep/internal/placement/placer"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

// newPlacement adds the parts that place models in the controller's region.
func (c *control) newPlacement() {
	c.lease = leaser.New(leaser.Config{
		Store:     c.store,
		Key:       leaser.Key(c.settings.Deployment, c.settings.Region),
		Node:      c.settings.Node,
		Durations: c.leaseTerms,
		Log:       c.log,
	})
	c.place = placer.New(placer.Config{
		Region:  c.settings.Region,
		Node:    c.settings.Node,
		Bundles: c.bundles,
		Lease:   c.lease,
		Orders:  orderer.New(orderer.Config{Client: c.client}),
		Log:     c.log,
	})
}

// leaseTerms returns the terms of the bundle in force.
func (c *control) leaseTerms() (leaser.Durations, bool) {
	current := c.bundles.Current()
	if current == nil {
		return leaser.Durations{}, false
	}
	policy := current.Bundle.Policy.Placement
	return leaser.Durations{TTL: policy.LeaseTTL.Std(), OrderTimeout: policy.OrderTimeout.Std()}, true
}

// reports hands the reports of one round to those who use them.
func (c *control) reports(reports []observer.Report) {
	c.place.RecordReports(reports)
	c.depart.reports(reports)
	c.coordinator.ReceiveReports(reports)
}
