package starter

import (
	"gentianstep.example/gentianstep/internal/gateway/rationer"
	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/routing/matcher"
	"gentianstep.example/gentianstep/internal/routing/throttler"
)

// configuration returns the configuration in force, nil if there is none.
func (g *gateway) configuration() *matcher.Configuration {
	if m := g.informer.Matcher(); m != nil {
		return m.Configuration()
	}
	return nil
}

func quotaBounds(settings *configurer.VMSettings) rationer.Bounds {
	return rationer.Bounds{Over: settings.Bounds.QuotaOver, Slack: settings.Bounds.QuotaSlack}
}

// newQuotas returns a function that returns the quotas in force and a number that changes
// with them. The hub calls it.
func (g *gateway) newQuotas() func() (map[string]throttler.Quota, uint64) {
	var configuration *matcher.Configuration
	var bounds rationer.Bounds
	var quotas map[string]throttler.Quota
	changes := uint64(0)
	return func() (map[string]throttler.Quota, uint64) {
		c, b := g.configuration(), quotaBounds(g.settings.Load())
		if c != nil && (c != configuration || b != bounds) {
			configuration, bounds, quotas = c, b, rationer.Quotas(c, b)
			changes++
		}
		return quotas, changes
	}
}
