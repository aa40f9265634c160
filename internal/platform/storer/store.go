// Package storer defines the interfaces to the platform's key-value service and
// to its list of VMs.
package storer

import (
	"context"
	"errors"
	"net/netip"
	"time"
)

// Entry is a key and its value at one revision.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision increases with every write to the service within an era, see Version,
	// and is never 0.
	Revision uint64 `json:"revision"`
	// LeaseID is the lease that the entry is bound to, 0 if it has none.
	LeaseID uint64 `json:"lease_id,omitempty"`
	// Era is the era in which the entry was read.
	Era uint64 `json:"era,omitempty"`
}

// Version returns the version of the store at which the entry was read.
func (e Entry) Version() Version { return Version{Era: e.Era, Revision: e.Revision} }

// Lease expires at its deadline unless it is renewed.
type Lease struct {
	ID       uint64    `json:"id"`
	Deadline time.Time `json:"deadline"`
	// Era is the era of the store in which the lease was granted or renewed. In a new era
	// the ID may belong to another lease.
	Era uint64 `json:"era,omitempty"`
}

// PutOptions are the options of a write.
type PutOptions struct {
	// IfVersion is the version that the key must have. The zero Version requires that
	// the key does not exist, in any era.
	IfVersion Version
	// LeaseID binds the key to a lease, whose end deletes it; 0 binds it to none.
	LeaseID uint64
}

// Store is the platform's key-value service. After any error other than those
// declared below, a write may or may not have taken effect.
type Store interface {
	Get(ctx context.Context, key string) (Entry, error)
	// Put writes the key by compare-and-swap and returns its new version.
	Put(ctx context.Context, key string, value []byte, opts PutOptions) (Version, error)
	// Delete deletes the key if it has that version.
	Delete(ctx context.Context, key string, ifVersion Version) error
	// List returns the entries whose keys start with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Watch blocks until the version of the key is after the given one and returns the
	// entry, or ErrNotChanged if the service ends the wait first.
	Watch(ctx context.Context, key string, after Version) (Entry, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew extends the deadline of a lease. It returns ErrLeaseGone for a lease of an era
	// that is known to have ended, and the era of the store also with this error.
	Renew(ctx context.Context, lease Lease) (Lease, error)
	// Revoke ends a lease and deletes the keys bound to it. It returns ErrLeaseGone for a
	// lease of an era that is known to have ended.
	Revoke(ctx context.Context, lease Lease) error
}

// VMState is the state of a VM in the platform's list.
type VMState string

// VM states.
const (
	Live    VMState = "live"
	Leaving VMState = "leaving"
)

// VM is one entry of the platform's list of VMs, which lags behind their actual
// state.
type VM struct {
	Name             string         `json:"name"`
	Region           string         `json:"region"`
	AvailabilityZone string         `json:"availability_zone"`
	Address          netip.AddrPort `json:"address"`
	State            VMState        `json:"state"`
}

// VMLister lists the VMs of the system itself and of its upstreams.
type VMLister interface {
	VMs(ctx context.Context) ([]VM, error)
}

// Errors that a Store returns if the outcome of the call is known.
var (
	ErrNotFound   = errors.New("key not found")
	ErrConflict   = errors.New("revision does not match")
	ErrLeaseGone  = errors.New("lease has ended")
	ErrNotChanged = errors.New("key has not changed")
	ErrTooLarge   = errors.New("value is too large")
	// ErrEraEnded reports a call that refers to a version of an era that has ended. If
	// the era ended during the call, a write may have taken effect in either era.
	ErrEraEnded = errors.New("era of the store has ended")
	// ErrRateLimited reports a call that exceeded the rate limit and had no effect.
	ErrRateLimited = errors.New("too many calls")
)

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20
