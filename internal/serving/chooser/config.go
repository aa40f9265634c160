// Package chooser chooses the upstream of each attempt from what the router
// believes of loads, caches and health.
package chooser

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/caching/indexer"
)

// Index answers which upstreams hold leading checkpoints of a prompt.
type Index interface {
	// Lookup returns false where no answer came before ctx ended.
	Lookup(ctx context.Context, checkpoints []hasher.Hash) ([]indexer.Holding, bool)
}

// Upstreams knows which upstreams are leaving.
type Upstreams interface {
	// Serves reports whether an upstream may get new work.
	Serves(upstream string) bool
	// Refused tells of a refusal that said that the upstream is leaving.
	Refused(now time.Time, upstream string)
}

// Config holds what a Chooser is built from.
type Config struct {
	Region           string
	AvailabilityZone string
	Index            Index
	// Upstreams is nil where none ever leaves.
	Upstreams Upstreams
	// Routers is the number of routers of the deployment.
	Routers int
	// Seed starts the random choices among equals.
	Seed uint64
	Log  *logrus.Entry
}
