package matcher

import (
	"cmp"
	"slices"
	"strings"
)

// Matcher finds routes and organisations of one configuration. It does not
// change and may be used by many goroutines.
type Matcher struct {
	configuration *Configuration
	hosts         map[string][]*Route
	organisations map[string]*Organisation
}

// New returns a Matcher of a checked configuration.
func New(c *Configuration) *Matcher {
	m := &Matcher{
		configuration: c,
		hosts:         make(map[string][]*Route),
		organisations: make(map[string]*Organisation),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		m.hosts[host] = append(m.hosts[host], r)
	}
	for _, routes := range m.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		for _, key := range o.Keys {
			m.organisations[key] = o
		}
	}
	return m
}

// Configuration returns the configuration that the Matcher was made from.
func (m *Matcher) Configuration() *Configuration { return m.configuration }

// Route returns the route with the longest prefix of path on host. The path is
// compared as the client sent it, without its query.
func (m *Matcher) Route(host, path string) (*Route, bool) {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, r := range m.hosts[name] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Organisation returns the organisation that holds key.
func (m *Matcher) Organisation(key string) (*Organisation, bool) {
	o, ok := m.organisations[key]
	return o, ok
}

// KeysRequired reports whether a request of the route needs a key.
func (m *Matcher) KeysRequired(r *Route) bool {
	return len(m.configuration.Organisations) > 0 && !r.Public
}

// Service returns the service of a request by its draw from 0 up to 1, which
// spreads requests by the weights of the route.
func (r *Route) Service(draw float64) string {
	total := 0
	for _, b := range r.Shares {
		total += b.Weight
	}
	rest := draw * float64(total)
	for _, b := range r.Shares {
		rest -= float64(b.Weight)
		if rest < 0 {
			return b.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}
