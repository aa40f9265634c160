// Package limiter enforces request rate limits of organisations over all routers
// without a shared counter: each router enforces a share of the limit, which it
// adjusts to the reported usage of the other routers. It performs no I/O, starts
// no goroutines, and callers pass in the time.
package limiter

import (
	"math"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// maxNameBytes is the maximum length of a peer or organisation name in a report.
const maxNameBytes = 64

// Usage is the recent rate of admitted requests of one organisation at one or
// more routers.
type Usage struct {
	// Peer is the name of the reporting router or Collector.
	Peer         string `cbor:"1,keyasint"`
	Organisation string `cbor:"2,keyasint"`
	// Rate is the total rate in requests per second.
	Rate float64 `cbor:"3,keyasint"`
	// Routers is the number of routers included in Rate.
	Routers int `cbor:"4,keyasint"`
}

// Check validates a received report.
func (u Usage) Check() error {
	if u.Peer == "" || u.Organisation == "" || max(len(u.Peer), len(u.Organisation)) > maxNameBytes {
		return classifier.New(classifier.MessageInvalid, "invalid peer name %q or organisation name %q in usage report", u.Peer, u.Organisation)
	}
	if !(u.Rate >= 0) || math.IsInf(u.Rate, 0) || u.Routers < 1 {
		return classifier.New(classifier.MessageInvalid, "invalid rate %g or number of routers %d in usage report", u.Rate, u.Routers)
	}
	return nil
}
