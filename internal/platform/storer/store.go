// Package storer defines what the system needs of the platform: its key-value
// service and its list of VMs.
package storer

import (
	"context"
	"errors"
	"net/netip"
	"time"
)

// Entry is a key's value at one revision.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision rises with every write to the service and is never 0.
	Revision uint64 `json:"revision"`
	// LeaseID is the lease that the entry lives by, 0 where it has none.
	LeaseID uint64 `json:"lease_id,omitempty"`
}

// Lease is a grant that ends at its deadline unless it is renewed.
type Lease struct {
	ID       uint64    `json:"id"`
	Deadline time.Time `json:"deadline"`
}

// PutOptions are the conditions of a write.
type PutOptions struct {
	// IfRevision is the revision the key must have; 0 creates it if absent.
	IfRevision uint64
	// LeaseID removes the key when that lease ends; 0 keeps it.
	LeaseID uint64
}

// Store is the platform's key-value service. Every error other than the ones
// below leaves open whether a write took effect.
type Store interface {
	Get(ctx context.Context, key string) (Entry, error)
	// Put writes the key by compare-and-swap and returns its new revision.
	Put(ctx context.Context, key string, value []byte, opts PutOptions) (uint64, error)
	// Delete removes the key if it has that revision.
	Delete(ctx context.Context, key string, ifRevision uint64) error
	// List returns the entries whose keys start with prefix, in order of keys.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Watch returns the entry once its revision is above after. It returns
	// ErrNotChanged when the service ends the wait first.
	Watch(ctx context.Context, key string, after uint64) (Entry, error)
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	Renew(ctx context.Context, id uint64) (Lease, error)
	Revoke(ctx context.Context, id uint64) error
}

// VMState tells whether a VM is in service.
type VMState string

// States of a VM in the platform's list.
const (
	Live    VMState = "live"
	Leaving VMState = "leaving"
)

// VM is one row of the platform's list, which lags behind reality.
type VM struct {
	Name             string         `json:"name"`
	Region           string         `json:"region"`
	AvailabilityZone string         `json:"availability_zone"`
	Address          netip.AddrPort `json:"address"`
	State            VMState        `json:"state"`
}

// VMLister lists the VMs of the system and of the upstreams.
type VMLister interface {
	VMs(ctx context.Context) ([]VM, error)
}

// Errors that a Store returns for sure outcomes.
var (
	ErrNotFound   = errors.New("key not found")
	ErrConflict   = errors.New("revision does not match")
	ErrLeaseGone  = errors.New("lease has ended")
	ErrNotChanged = errors.New("key has not changed")
	ErrTooLarge   = errors.New("value is too large")
	// ErrRateLimited refuses a call that came too soon; it had no effect.
	ErrRateLimited = errors.New("too many calls")
)

// MaxValueBytes is the largest value the service takes.
const MaxValueBytes = 1 << 20
