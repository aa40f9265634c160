// Package limiter keeps the request limits of organisations over the whole
// fleet. No counter is shared: each router holds a part of the limit, which it
// corrects by what it hears of the others' use. It does no I/O, starts no
// goroutine and reads no clock.
package limiter

import (
	"math"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// maxNameBytes is the longest name in a report.
const maxNameBytes = 64

// Use is what one router, or several of them together, admitted of late.
type Use struct {
	// Peer names who reports.
	Peer         string `cbor:"1,keyasint"`
	Organisation string `cbor:"2,keyasint"`
	// Rate is in requests a second.
	Rate float64 `cbor:"3,keyasint"`
	// Routers is the number of routers that Rate sums up.
	Routers int `cbor:"4,keyasint"`
}

// Check reports the first fault of a report that was received.
func (u Use) Check() error {
	if u.Peer == "" || u.Organisation == "" || max(len(u.Peer), len(u.Organisation)) > maxNameBytes {
		return classifier.New(classifier.MessageInvalid, "a use names peer %q and organisation %q", u.Peer, u.Organisation)
	}
	if !(u.Rate >= 0) || math.IsInf(u.Rate, 0) || u.Routers < 1 {
		return classifier.New(classifier.MessageInvalid, "a use of %g by %d routers", u.Rate, u.Routers)
	}
	return nil
}
