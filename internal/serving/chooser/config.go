// Package chooser selects the upstream of each attempt from the router's
// estimates of the load, cache content and health of all upstreams.
package chooser

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/caching/indexer"
)

// Index looks up which upstreams have cached leading checkpoints of a prompt.
type Index interface {
	// Lookup returns false if no reply arrived before ctx was done.
	Lookup(ctx context.Context, checkpoints []hasher.Hash) ([]indexer.Holding, bool)
}

// DepartureTracker tracks which upstreams are leaving.
type DepartureTracker interface {
	// AcceptsRequests reports whether an upstream may be sent new requests.
	AcceptsRequests(upstream string) bool
	// HandleLeavingRefusal records that an upstream refused a request because it is leaving.
	HandleLeavingRefusal(now time.Time, upstream string)
}

// Notices holds what upstreams have stated about themselves in their responses.
type Notices interface {
	// IsOpen reports whether an upstream may be sent new requests.
	IsOpen(upstream string) bool
	// LimitShare returns this router's share of the limit of an upstream in requests a
	// second, 0 if it has none.
	LimitShare(upstream string) float64
	// HeldUntil returns until when an upstream wants no requests, or the zero time.
	HeldUntil(upstream string) time.Time
}

// Config holds the parameters of a Chooser.
type Config struct {
	Region           string
	AvailabilityZone string
	Index            Index
	// Departures may be nil, in which case every upstream accepts new requests.
	Departures DepartureTracker
	// Notices may be nil, in which case none is heeded.
	Notices Notices
	// Routers is the number of routers in the deployment.
	Routers int
	// Seed seeds the tie-breaking of the selection policy and the jitter of
	// cooldowns.
	Seed uint64
	Log  *logrus.Entry
}
