package leaser

import (
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/platform/storer"
)

// Terms say how long leases and orders last.
type Terms struct {
	// TTL is the time to live of the lease in the store.
	TTL time.Duration
	// OrderTimeout is the longest time an order stays valid.
	OrderTimeout time.Duration
}

// margin is how long before the end in the store a holder stops: it covers
// the difference in rate of two clocks.
func (t Terms) margin() time.Duration { return t.TTL / marginShare }

func (t Terms) renewEvery() time.Duration { return t.TTL / renewShare }

func (t Terms) retryEvery() time.Duration { return t.TTL / retryShare }

const (
	// retryShare is the part of a lease after which a failed renewal is repeated.
	retryShare = 10
	// marginShare is the part of a lease that is kept as a safety margin.
	marginShare = 5
	// renewShare is the part of a lease after which it is renewed.
	renewShare = 3
	// idle is the wait while there are no terms.
	idle = time.Second
)

// Config holds what a Leaser is built from.
type Config struct {
	Store storer.Store
	// Key is the key of the region's lease.
	Key  string
	Node string
	// Terms returns the terms in force, false while there are none.
	Terms func() (Terms, bool)
	// Taken reports whether another node is known to hold the lease, so that
	// asking the store is of no use; nil asks always.
	Taken func() bool
	Log   *logrus.Entry
}

// Key returns the key of a region's lease.
func Key(deployment, region string) string {
	return "gentianstep/" + deployment + "/placement/" + region
}
