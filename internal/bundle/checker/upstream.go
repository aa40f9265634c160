package checker

import "net/netip"

// UpstreamKind tells engines from plain services.
type UpstreamKind string

// Kinds of upstream.
const (
	Engine       UpstreamKind = "engine"
	PlainService UpstreamKind = "plain_service"
)

// Upstream is a back end: a model engine or a server of a plain service.
type Upstream struct {
	Name             string         `json:"name"`
	Kind             UpstreamKind   `json:"kind"`
	Address          netip.AddrPort `json:"address"`
	Region           string         `json:"region"`
	AvailabilityZone string         `json:"availability_zone"`
	// Models lists the models that an engine may serve.
	Models []string `json:"models,omitempty"`
	// Slots is the number of requests it runs side by side.
	Slots int `json:"slots"`
	// ChecksFencing is true where the engine refuses orders with an old fencing number.
	ChecksFencing bool `json:"checks_fencing"`
}
