// Package matcher matches requests to the routes, services and organisations of
// a configuration. It does no I/O.
package matcher

import (
	"fmt"
	"net/netip"
	"time"
)

// Kind is the kind of a route's requests. It determines whether they may be
// retried.
type Kind string

// Kinds of routes. Requests of a Stream route are answered by an event stream.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "non_idempotent"
	Stream        Kind = "stream"
)

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version uint64
	Routes  []Route
	// Services is keyed by name.
	Services      map[string]Service
	Organisations []Organisation
	Limits        Limits
}

// Route maps the requests for a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time of a request.
	Timeout time.Duration
	// TargetLatency is the latency objective of the answer, or of the first
	// event of a stream.
	TargetLatency time.Duration
	// MaxEventGap is the objective of the time between two events of a stream.
	MaxEventGap time.Duration
	// Priority is the priority of requests; 0 is the highest.
	Priority    int
	MaxAttempts int
	// Public is true if requests need no API key.
	Public bool
	// CarriesPrompt is true if requests carry a prompt for an engine.
	CarriesPrompt bool
	// Resumable is true if a broken stream may be resumed at another engine.
	Resumable bool
	// Services lists the services among which requests are distributed.
	Services []WeightedService
}

// Repeatable reports whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// WeightedService is a service of a route and its weight in the distribution of
// requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string
	// HealthPath is the path of the upstreams' health checks, empty if they have none.
	HealthPath string
	// MaxConnections is the maximum number of connections from all VMs to one
	// upstream.
	MaxConnections int
	// Engine is nil if the upstreams are not engines.
	Engine *Engine
	// CacheStore is the address of a cache store. It is invalid if the service
	// is not a cache store.
	CacheStore netip.AddrPort
	// AvailabilityZone and LinkBytesPerSecond are set only for a cache store.
	AvailabilityZone   string
	LinkBytesPerSecond float64
}

// Engine holds the properties of a service's engines.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// TokenBytes is the size of the KV cache of one token.
	TokenBytes float64
	// LinkBytesPerSecond is the transfer rate of KV cache between engines.
	LinkBytesPerSecond float64
	Models             []string
}

// Organisation is a client organisation, identified by its API keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if HasPriority is true.
	Priority    int
	HasPriority bool
	// Isolated is true if cached prefixes must not be shared with other
	// organisations.
	Isolated bool
	Quota    Quota
}

// Limits holds the limits of client connections and requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Check returns an error for the first invalid setting.
func (c *Configuration) Check() error {
	if c.Version == 0 {
		return fmt.Errorf("check configuration: version: got 0, want at least 1")
	}
	for i := range c.Routes {
		if err := c.Routes[i].check(c.Services); err != nil {
			return fmt.Errorf("check configuration: route %q: %w", c.Routes[i].Name, err)
		}
	}
	for _, o := range c.Organisations {
		if err := o.Quota.check(); err != nil {
			return fmt.Errorf("check configuration: organisation %q: %w", o.Name, err)
		}
	}
	return nil
}

func (r *Route) check(services map[string]Service) error {
	if r.Prefix == "" || r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/' {
		return fmt.Errorf("prefix: got %q, want a path that begins and ends with a slash", r.Prefix)
	}
	if r.Kind != Idempotent && r.Kind != NonIdempotent && r.Kind != Stream {
		return fmt.Errorf("kind: got %q, want idempotent, non_idempotent or stream", r.Kind)
	}
	if len(r.Services) == 0 {
		return fmt.Errorf("route has no services")
	}
	for _, s := range r.Services {
		if _, ok := services[s.Service]; !ok {
			return fmt.Errorf("service %q is not in the configuration", s.Service)
		}
	}
	return nil
}
