package configurer

import (
	"net/netip"
	"time"
)

// VMSettings say where an entry VM of a platform stands and what bounds hold
// there. The platform writes them; its adapter decodes them.
type VMSettings struct {
	Node             string
	AvailabilityZone string
	Region           string
	// Regions maps each availability zone to its region.
	Regions map[string]string
	// ClientAddress takes requests, ReadyAddress health checks of the balancer,
	// PeerAddress connections of the other VMs.
	ClientAddress netip.AddrPort
	ReadyAddress  netip.AddrPort
	PeerAddress   netip.AddrPort
	// MetricsAddress serves counters and histograms.
	MetricsAddress netip.AddrPort
	// SeedPeers are peer addresses that may be out of date.
	SeedPeers []netip.AddrPort
	// MemoryBytes and MaxDescriptors are the limits of one process.
	MemoryBytes    int64
	MaxDescriptors int
	// UpstreamHeartbeat is how often an upstream renews its entry.
	UpstreamHeartbeat time.Duration
	Bounds            VMBounds
	Store             StoreSettings
}

// VMBounds are the service objectives that the deployment is held to.
type VMBounds struct {
	// Drain is the longest time to stop using an upstream that is leaving.
	Drain time.Duration
	// StopGrace is the time between SIGTERM and SIGKILL.
	StopGrace time.Duration
	// ConfigurationApply is the longest time to put a configuration in force.
	ConfigurationApply time.Duration
	// WeightsApply is the longest time to bring engines to a new version.
	WeightsApply time.Duration
	// RetryRatio and RetryExtra bound repeated sends in each RetryWindow: the
	// ratio counts against the requests, the extra ones come on top.
	RetryRatio  float64
	RetryExtra  int
	RetryWindow time.Duration
	// Lease is the least time between orders of two holders that take turns.
	Lease time.Duration
	// EnginesCheckFencing is true where engines refuse old fencing numbers.
	EnginesCheckFencing bool
}

// StoreSettings describe the platform's key-value service.
type StoreSettings struct {
	Address     netip.AddrPort
	MinLeaseTTL time.Duration
}

// Check reports the first fault of the settings.
func (s *VMSettings) Check() error {
	if err := checkName("node", s.Node); err != nil {
		return err
	}
	addresses := []listener{
		{"client address", s.ClientAddress},
		{"ready address", s.ReadyAddress},
		{"peer address", s.PeerAddress},
		{"store address", s.Store.Address},
	}
	for _, a := range addresses {
		if err := checkAddress(a.path, a.address); err != nil {
			return err
		}
	}
	if err := checkCount("descriptors", s.MaxDescriptors); err != nil {
		return err
	}
	if s.AvailabilityZone == "" || s.Region == "" {
		return invalid("availability zone", "got none, takes a zone with its region")
	}
	return s.Bounds.check()
}

func (b VMBounds) check() error {
	durations := []struct {
		path  string
		value time.Duration
	}{
		{"drain", b.Drain},
		{"stop grace", b.StopGrace},
		{"configuration apply", b.ConfigurationApply},
		{"retry window", b.RetryWindow},
		{"lease", b.Lease},
	}
	for _, d := range durations {
		if d.value <= 0 {
			return invalid("bounds: "+d.path, "got %s, takes more than 0s", d.value)
		}
	}
	if !(b.RetryRatio >= 0) || b.RetryExtra < 0 {
		return invalid("bounds: retry", "takes a ratio and a count of 0 or more")
	}
	return nil
}
