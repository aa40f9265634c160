package chooser

import (
	"math/rand/v2"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/routing/estimator"
	"gentianstep.example/gentianstep/internal/routing/selector"
)

// SetBundle applies the upstreams and the policies of a new bundle.
func (c *Chooser) SetBundle(b *checker.Bundle) {
	c.mu.Lock()
	defer c.mu.Unlock()
	upstreams := engineUpstreams(b)
	c.loads.SetUpstreams(upstreams)
	c.prefixRates.SetUpstreamCount(c.countLocal(upstreams))
	c.health.SetPolicy(b.Policy.Attempts, upstreamNames(b))
	if c.selection == b.Policy.Selection {
		return
	}
	policy, err := selector.New(selector.Config{
		Selection:  b.Policy.Selection,
		MaxEjected: b.Policy.Attempts.MaxEjected,
		Random:     rand.New(rand.NewPCG(c.cfg.Seed, b.Version)),
	})
	if err != nil {
		c.cfg.Log.WithError(err).Error("failed to create selection policy")
		return
	}
	c.policy = policy
	c.selection = b.Policy.Selection
}

func upstreamNames(b *checker.Bundle) []string {
	list := make([]string, 0, len(b.Upstreams))
	for _, u := range b.Upstreams {
		list = append(list, u.Name)
	}
	return list
}

func engineUpstreams(b *checker.Bundle) []estimator.Upstream {
	var list []estimator.Upstream
	for _, u := range b.Upstreams {
		if u.Kind != checker.Engine {
			continue
		}
		list = append(list, estimator.Upstream{
			Name:             u.Name,
			Region:           u.Region,
			AvailabilityZone: u.AvailabilityZone,
			Slots:            u.Slots,
		})
	}
	return list
}

// countLocal returns the number of upstreams in the router's region.
func (c *Chooser) countLocal(upstreams []estimator.Upstream) int {
	n := 0
	for _, u := range upstreams {
		if u.Region == c.cfg.Region {
			n++
		}
	}
	return n
}
