package chooser

import (
	"math/rand/v2"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/routing/estimator"
	"gentianstep.example/gentianstep/internal/routing/selector"
)

// Bundle puts the upstreams and the policy of a new bundle in force.
func (c *Chooser) Bundle(b *checker.Bundle) {
	c.mu.Lock()
	defer c.mu.Unlock()
	upstreams := engines(b)
	c.loads.SetUpstreams(upstreams)
	c.heat.SetUpstreamCount(c.local(upstreams))
	c.health.SetPolicy(b.Policy.Attempts, names(b))
	if c.previous == b.Policy.Selection {
		return
	}
	policy, err := selector.New(selector.Config{
		Selection:  b.Policy.Selection,
		MaxEjected: b.Policy.Attempts.MaxEjected,
		Random:     rand.New(rand.NewPCG(c.cfg.Seed, b.Version)),
	})
	if err != nil {
		c.cfg.Log.WithError(err).Error("selection policy refused")
		return
	}
	c.policy = policy
	c.previous = b.Policy.Selection
}

func names(b *checker.Bundle) []string {
	list := make([]string, 0, len(b.Upstreams))
	for _, u := range b.Upstreams {
		list = append(list, u.Name)
	}
	return list
}

func engines(b *checker.Bundle) []estimator.Upstream {
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

// local counts the upstreams of the router's region.
func (c *Chooser) local(upstreams []estimator.Upstream) int {
	n := 0
	for _, u := range upstreams {
		if u.Region == c.cfg.Region {
			n++
		}
	}
	return n
}
