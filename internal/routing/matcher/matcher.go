package matcher

import (
	"cmp"
	"slices"
	"strings"
)

// Matcher looks up routes and organisations of one configuration. It is
// immutable and safe for concurrent use.
type Matcher struct {
	configuration *Configuration
	// routesByHost is keyed by the host in lower case. Longer prefixes come
	// first.
	routesByHost       map[string][]*Route
	organisationsByKey map[string]*Organisation
	isolation          isolation
}

// New returns a Matcher for a configuration that has passed Check.
func New(c *Configuration) *Matcher {
	m := &Matcher{
		configuration:      c,
		routesByHost:       make(map[string][]*Route),
		organisationsByKey: make(map[string]*Organisation),
		isolation:          newIsolation(c.Organisations),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		m.routesByHost[host] = append(m.routesByHost[host], r)
	}
	for _, routes := range m.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		for _, key := range o.Keys {
			m.organisationsByKey[key] = o
		}
	}
	return m
}

// Configuration returns the configuration of the Matcher.
func (m *Matcher) Configuration() *Configuration { return m.configuration }

// FindRoute returns the route of host with the longest prefix of path. The path
// is that sent by the client, without normalisation and without its query.
func (m *Matcher) FindRoute(host, path string) (*Route, bool) {
	hostname, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, r := range m.routesByHost[hostname] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// FindOrganisation returns the organisation of an API key.
func (m *Matcher) FindOrganisation(key string) (*Organisation, bool) {
	o, ok := m.organisationsByKey[key]
	return o, ok
}

// RequiresKey reports whether a request of the route needs an API key. It does
// not if no organisations are configured.
func (m *Matcher) RequiresKey(r *Route) bool {
	return len(m.configuration.Organisations) > 0 && !r.Public
}

// SelectService returns the name of the service selected by draw, a random
// number from 0 up to but not including 1. Services are selected in proportion
// to their weights.
func (r *Route) SelectService(draw float64) string {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	remaining := draw * float64(total)
	for _, s := range r.Services {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}
