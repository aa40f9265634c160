// Package matcher holds a configuration in force and finds the route and the
// organisation of a request. It does no I/O.
package matcher

import (
	"fmt"
	"net/netip"
	"time"
)

// Kind tells what may be repeated on a route.
type Kind string

// Kinds of routes.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "non_idempotent"
	Stream        Kind = "stream"
)

// Configuration is one version of what the operator wants.
type Configuration struct {
	Version       uint64
	Routes        []Route
	Services      map[string]Service
	Organisations []Organisation
	Limits        Limits
}

// Route sends the requests of a host and a path prefix to a service.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that the operator wants a client kept waiting.
	Timeout time.Duration
	// TargetLatency is the objective of the answer, or of a stream's first event.
	TargetLatency time.Duration
	// MaxEventGap is the longest pause between two events of a stream on time.
	MaxEventGap time.Duration
	// Priority is the rank of the route, 0 is the highest.
	Priority    int
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Generates is true where requests carry a prompt for an engine.
	Generates bool
	// Resumable streams may go on at another engine.
	Resumable bool
	Shares    []Share
}

// Repeatable reports whether a request may be run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Share is a service with its weight among those of a route.
type Share struct {
	Service string
	Weight  int
}

// Service is a group of upstreams that serve the same requests.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one upstream from all VMs.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
	// KeptCache is the address of a store of kept cache, invalid where the
	// service is none.
	KeptCache netip.AddrPort
	// AvailabilityZone and LinkBytesPerSecond are those of a store.
	AvailabilityZone   string
	LinkBytesPerSecond float64
}

// Engine describes the engines of a service.
type Engine struct {
	Slots int
	// TokenBytes is the size of one token's cache.
	TokenBytes float64
	// LinkBytesPerSecond is the rate at which cache moves between engines.
	LinkBytesPerSecond float64
	Models             []string
}

// Organisation sends requests under its keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority takes precedence over a route's.
	Priority int
	// HasPriority is false where the route's priority holds.
	HasPriority bool
	// Isolated organisations share no cache with others.
	Isolated bool
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Check reports the first fault of the configuration.
func (c *Configuration) Check() error {
	if c.Version == 0 {
		return fmt.Errorf("configuration: version: got 0, takes 1 or more")
	}
	for i := range c.Routes {
		if err := c.Routes[i].check(c.Services); err != nil {
			return fmt.Errorf("configuration: route %s: %w", c.Routes[i].Name, err)
		}
	}
	return nil
}

func (r *Route) check(services map[string]Service) error {
	if r.Prefix == "" || r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/' {
		return fmt.Errorf("prefix: got %q, takes a path that begins and ends with a slash", r.Prefix)
	}
	if r.Kind != Idempotent && r.Kind != NonIdempotent && r.Kind != Stream {
		return fmt.Errorf("kind: got %q", r.Kind)
	}
	if len(r.Shares) == 0 {
		return fmt.Errorf("takes a service")
	}
	for _, b := range r.Shares {
		if _, ok := services[b.Service]; !ok {
			return fmt.Errorf("service %q is not in the configuration", b.Service)
		}
	}
	return nil
}
