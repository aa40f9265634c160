package forwarder_test

import (
	"sync"

	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/routing/matcher"
)

// directory implements forwarder.Directory with values that a test sets.
type directory struct {
	mu            sync.Mutex
	configuration *matcher.Matcher
	upstreams     map[string][]*registrar.Upstream
	weights       []informer.Weights
}

func (d *directory) Matcher() *matcher.Matcher {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.configuration
}

func (d *directory) Usable(service string) []*registrar.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.upstreams[service]
}

// Upstreams implements verifier.Directory.
func (d *directory) Upstreams() []*registrar.Upstream { return d.Usable("s") }

// setUpstreams replaces the upstreams of the service of the fixture.
func (d *directory) setUpstreams(list []*registrar.Upstream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.upstreams["s"] = list
}

func (d *directory) DesiredWeightsHistory(string) []informer.Weights {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.weights
}

func (d *directory) configure(c *matcher.Configuration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.configuration = matcher.New(c)
}

func (d *directory) setWeights(weights ...informer.Weights) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.weights = weights
}
