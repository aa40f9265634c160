package configurer

import (
	"net/netip"
	"time"
)

// VMSettings hold the location, addresses and limits of an entry VM. The platform
// writes them in its own format and the platform adapter decodes them.
type VMSettings struct {
	Node             string
	AvailabilityZone string
	Region           string
	// Regions maps each availability zone to its region.
	Regions map[string]string
	// ClientAddress accepts requests, ReadyAddress health checks of the load
	// balancer, PeerAddress connections from other VMs.
	ClientAddress netip.AddrPort
	ReadyAddress  netip.AddrPort
	PeerAddress   netip.AddrPort
	// MetricsAddress serves metrics.
	MetricsAddress netip.AddrPort
	// SeedPeers are initial peer addresses; they may be outdated.
	SeedPeers []netip.AddrPort
	// MemoryBytes and MaxDescriptors limit the memory and the open file
	// descriptors of one process.
	MemoryBytes    int64
	MaxDescriptors int
	// LinkBytesPerSecond is the rate of the VM's network link, and Processors the
	// processor time that it has per unit of time. 0 means unknown.
	LinkBytesPerSecond float64
	Processors         float64
	// UpstreamHeartbeat is the interval at which an upstream renews its entry.
	UpstreamHeartbeat time.Duration
	Bounds            VMBounds
	Store             StoreSettings
}

// VMBounds are the service objectives of the deployment.
type VMBounds struct {
	// Drain is the maximum time to stop using a leaving upstream.
	Drain time.Duration
	// StopGrace is the time between SIGTERM and SIGKILL.
	StopGrace time.Duration
	// ConfigurationApply is the maximum time to apply a new configuration.
	ConfigurationApply time.Duration
	// WeightsApply is the maximum time to update engines to a new weights version.
	WeightsApply time.Duration
	// RetryRatio and RetryExtra are the retry budget for each RetryWindow: at most
	// RetryRatio times the number of requests, plus RetryExtra.
	RetryRatio  float64
	RetryExtra  int
	RetryWindow time.Duration
	// Lease is the minimum time between the last order of one lease holder and the
	// first order of the next.
	Lease time.Duration
	// QuotaWindow, QuotaOver and QuotaSlack are the tolerance for quotas of organisations: in
	// each QuotaWindow, upstreams may run what the quota allows times 1 + QuotaOver, plus
	// QuotaSlack. 0 means none.
	QuotaWindow time.Duration
	QuotaOver   float64
	QuotaSlack  float64
	// EnginesCheckFencing is true if engines refuse orders with an outdated
	// fencing number.
	EnginesCheckFencing bool
}

// StoreSettings describe the platform's key-value service.
type StoreSettings struct {
	Address     netip.AddrPort
	MinLeaseTTL time.Duration
	// WritesPerSecond is the limit for the writes of all VMs together, 0 if unknown.
	WritesPerSecond float64
}

// Check returns an error for the first invalid setting.
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
		return invalid("availability zone", "got none, want an availability zone and its region")
	}
	if s.Store.WritesPerSecond < 0 {
		return invalid("store writes per second", "got %v, want at least 0", s.Store.WritesPerSecond)
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
			return invalid("bounds: "+d.path, "got %s, want more than 0s", d.value)
		}
	}
	if !(b.RetryRatio >= 0) || b.RetryExtra < 0 {
		return invalid("bounds: retry", "ratio and extra retries must be 0 or more")
	}
	if b.QuotaWindow < 0 || !(b.QuotaOver >= 0) || !(b.QuotaSlack >= 0) {
		return invalid("bounds: quota", "window, excess and slack must be 0 or more")
	}
	return nil
}
