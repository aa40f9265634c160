package leaser

import (
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/platform/storer"
)

// Durations holds the lifetimes of leases and orders.
type Durations struct {
	// TTL is the time to live of the lease in the store.
	TTL time.Duration
	// OrderTimeout is the longest time for which an order stays valid.
	OrderTimeout time.Duration
}

// safetyMargin is how long before the lease expires in the store its holder
// stops acting on it. It covers clock drift between the VM and the store.
func (d Durations) safetyMargin() time.Duration { return d.TTL / marginDivisor }

// priorOrders is how long after the end of a lease its holder's orders may be valid. The
// holder learns from its next renewal if the lease ended before its time, and a call
// that it has begun by then may still arrive.
func (d Durations) priorOrders() time.Duration { return d.OrderTimeout + d.TTL/priorOrdersDivisor }

func (d Durations) renewInterval() time.Duration { return d.TTL / renewDivisor }

func (d Durations) renewTimeout() time.Duration { return d.TTL / renewTimeoutDivisor }

func (d Durations) retryInterval() time.Duration { return d.TTL / retryDivisor }

const (
	// retryDivisor sets the interval between retries of a failed renewal, as a
	// fraction of the TTL.
	retryDivisor = 10
	// marginDivisor sets the safety margin as a fraction of the TTL.
	marginDivisor = 5
	// priorOrdersDivisor sets how long a holder may go on after the end of its lease in
	// the store, as a fraction of the TTL. It is more than renewInterval, by the time
	// that a call takes.
	priorOrdersDivisor = 2
	// renewTimeoutDivisor sets the timeout of one renewal as a fraction of the TTL,
	// so that a second one on a new connection fits in before the deadline.
	renewTimeoutDivisor = 4
	// renewDivisor sets the interval between renewals as a fraction of the TTL.
	renewDivisor = 3
	// configPollInterval is the wait between checks for a configuration.
	configPollInterval = time.Second
)

// Config holds the dependencies and settings of a Leaser.
type Config struct {
	Store storer.Store
	// Key is the key of the lease in the store.
	Key  string
	Node string
	// Durations returns the current lifetimes, or false while no configuration is
	// in force.
	Durations func() (Durations, bool)
	// Held returns the version at which the lease is known to be held, in which case
	// the store is not queried. If nil, the store is always queried.
	Held func() (storer.Version, bool)
	// AcquireDelay returns how long a free lease is left to nodes that are better
	// suited to hold it. If nil, every node tries at once.
	AcquireDelay func() time.Duration
	// SinceBoot reads a clock that also advances while the VM is suspended, or returns 0.
	// If nil, it is CLOCK_BOOTTIME.
	SinceBoot func() time.Duration
	Log       *logrus.Entry
}

// Key returns the store key of a region's placement lease.
func Key(deployment, region string) string {
	return "gentianstep/" + deployment + "/placement/" + region
}
