// Package estimator estimates the current load of upstreams from delayed load
// reports and the requests that the router has sent since. It does no I/O and
// reads no clock.
package estimator

// Upstream is the part of an upstream's configuration that estimates need.
type Upstream struct {
	Name             string
	Region           string
	AvailabilityZone string
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
}
