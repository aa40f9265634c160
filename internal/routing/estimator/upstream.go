// Package estimator keeps what a router believes of the load of each upstream
// between two late reports. It does no I/O and reads no clock.
package estimator

// Upstream is the part of an upstream's configuration that an estimate needs.
type Upstream struct {
	Name             string
	Region           string
	AvailabilityZone string
	// Slots is the number of requests it runs side by side.
	Slots int
}
