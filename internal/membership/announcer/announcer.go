// Package announcer maintains the entry of this VM in the platform's store, through
// which the VMs of a deployment discover and count each other.
package announcer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/operating/pauser"
	"gentianstep.example/gentianstep/internal/platform/storer"
)

const (
	// entryTTL is how long the entry of a VM is kept without a renewal.
	entryTTL = 6 * time.Second
	// renewInterval allows for two renewals before the entry expires.
	renewInterval = entryTTL / 3
	// retryInterval is the mean wait after a failed call; jitter changes it by up to
	// half. It is also the timeout for the removal of the entry.
	retryInterval = time.Second
)

// RestoreTTL is the time after a restore of the store within which a VM that still runs
// has written its entry again.
const RestoreTTL = 2 * entryTTL

const (
	// writesPerEntry is the number of writes for one entry: its lease and the entry.
	writesPerEntry = 2
	// writeShare is the part of the store's write limit that the VMs use for lost entries.
	writeShare = 0.5
)

// Spread returns the time over which VMs write their lost entries, so that they stay
// within their part of the store's limit. It is at most the time to live of an entry, also
// if the limit is 0, which means unknown.
func Spread(vms int, writesPerSecond float64) time.Duration {
	if writesPerSecond <= 0 {
		return entryTTL
	}
	seconds := float64(vms*writesPerEntry) / (writesPerSecond * writeShare)
	return min(time.Duration(seconds*float64(time.Second)), entryTTL)
}

// VM is the value of a VM's entry in the store.
type VM struct {
	Node             string         `json:"node"`
	AvailabilityZone string         `json:"availability_zone"`
	PeerAddress      netip.AddrPort `json:"peer_address"`
	// LinkBytesPerSecond and Processors are the capacity of the VM, 0 if unknown.
	LinkBytesPerSecond float64 `json:"link_bytes_per_second,omitempty"`
	Processors         float64 `json:"processors,omitempty"`
}

// DecodeVM decodes and validates the entry of a VM.
func DecodeVM(value []byte) (VM, error) {
	var vm VM
	if err := storer.Decode(value, &vm); err != nil {
		return VM{}, fmt.Errorf("decode entry of VM: %w", err)
	}
	if vm.Node == "" || !vm.PeerAddress.IsValid() {
		return VM{}, fmt.Errorf("decode entry of VM: node or peer_address is missing")
	}
	if err := registrar.CheckAddress(vm.PeerAddress); err != nil {
		return VM{}, fmt.Errorf("decode entry of VM %q: peer_address: %w", vm.Node, err)
	}
	if vm.LinkBytesPerSecond < 0 || vm.Processors < 0 {
		return VM{}, fmt.Errorf("decode entry of VM %q: capacity is negative", vm.Node)
	}
	return vm, nil
}

// Config is the configuration of an Announcer.
type Config struct {
	Store storer.Store
	Key   string
	VM    VM
	// Spread returns the time over which the VMs of a deployment write their entries
	// again after the store has lost them.
	Spread func() time.Duration
	Log    *logrus.Entry
}

// Announcer maintains the entry of one VM.
type Announcer struct {
	cfg Config
}

// New returns an Announcer.
func New(cfg Config) *Announcer { return &Announcer{cfg: cfg} }

// Run writes and renews the entry until ctx is cancelled, then removes it.
func (a *Announcer) Run(ctx context.Context) {
	var lease storer.Lease
	for {
		var err error
		lease, err = a.refreshEntry(ctx, lease)
		wait := renewInterval
		if err != nil && ctx.Err() == nil {
			a.cfg.Log.WithError(err).WithField("event", "announce_failed").Debug("failed to write or renew the entry of this VM")
			wait = retryInterval/2 + rand.N(retryInterval)
		}
		if !pauser.Pause(ctx, wait) {
			a.removeEntry(lease)
			return
		}
	}
}

// refreshEntry renews the lease of the entry. If there is no lease or it has ended,
// refreshEntry writes the entry under a new one. It returns the lease to renew next.
func (a *Announcer) refreshEntry(ctx context.Context, lease storer.Lease) (storer.Lease, error) {
	if lease.ID != 0 {
		renewed, err := a.cfg.Store.Renew(ctx, lease)
		if err != nil && !errors.Is(err, storer.ErrLeaseGone) {
			return lease, err
		}
		if err == nil && renewed.Era == lease.Era {
			return lease, nil
		}
		// The store may have lost the entries of all VMs.
		if !pauser.Pause(ctx, rand.N(max(a.cfg.Spread(), 1))) {
			return storer.Lease{}, ctx.Err()
		}
	}
	value, err := json.Marshal(a.cfg.VM)
	if err != nil {
		return storer.Lease{}, fmt.Errorf("encode entry of VM: %w", err)
	}
	granted, err := a.cfg.Store.Grant(ctx, entryTTL)
	if err != nil {
		return storer.Lease{}, err
	}
	// Usually there is no entry. One of an earlier process may remain until its lease
	// expires, or the response to the write of this one was lost.
	_, err = a.cfg.Store.Put(ctx, a.cfg.Key, value, storer.PutOptions{LeaseID: granted.ID})
	if errors.Is(err, storer.ErrConflict) {
		err = a.replaceEntry(ctx, value, granted.ID)
	}
	if err != nil {
		return storer.Lease{}, err
	}
	return granted, nil
}

// replaceEntry writes the entry in place of an existing one.
func (a *Announcer) replaceEntry(ctx context.Context, value []byte, lease uint64) error {
	existing, err := a.cfg.Store.Get(ctx, a.cfg.Key)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return err
	}
	_, err = a.cfg.Store.Put(ctx, a.cfg.Key, value, storer.PutOptions{IfVersion: existing.Version(), LeaseID: lease})
	return err
}

// removeEntry removes the entry by revoking its lease. If that fails, the entry
// expires after entryTTL.
func (a *Announcer) removeEntry(lease storer.Lease) {
	if lease.ID == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), retryInterval)
	defer cancel()
	entry, err := a.cfg.Store.Get(ctx, a.cfg.Key)
	if err == nil && (entry.Era != lease.Era || entry.LeaseID != lease.ID) || errors.Is(err, storer.ErrNotFound) {
		return // the store was restored, and another VM may have a lease of this ID
	}
	if err == nil {
		err = a.cfg.Store.Revoke(ctx, lease)
	}
	if err != nil {
		a.cfg.Log.WithError(err).WithField("event", "announce_failed").Debug("failed to remove the entry of this VM")
	}
}
