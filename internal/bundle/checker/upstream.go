package checker

import "net/netip"

// UpstreamKind is the type of an upstream.
type UpstreamKind string

// Upstream kinds.
const (
	Engine       UpstreamKind = "engine"
	PlainService UpstreamKind = "plain_service"
)

// Upstream is a model engine or a server of a plain service.
type Upstream struct {
	Name             string         `json:"name"`
	Kind             UpstreamKind   `json:"kind"`
	Address          netip.AddrPort `json:"address"`
	Region           string         `json:"region"`
	AvailabilityZone string         `json:"availability_zone"`
	// Models lists the models that an engine may serve.
	Models []string `json:"models,omitempty"`
	// Slots is the maximum number of concurrent requests.
	Slots int `json:"slots"`
	// ChecksFencing is true if the engine rejects orders with an outdated fencing
	// number.
	ChecksFencing bool `json:"checks_fencing"`
}
