// Package keeper implements an in-memory stand-in for the platform's key-value
// service and VM list.
package keeper

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"gentianstep.example/gentianstep/internal/platform/storer"
)

// maxWatchDuration is the maximum duration of one watch call.
const maxWatchDuration = 30 * time.Second

// Keeper is an in-memory key-value service. It implements storer.Store and
// storer.VMLister.
type Keeper struct {
	mu       sync.Mutex
	revision uint64
	entries  map[string]storer.Entry
	leases   map[uint64]*grantedLease
	nextID   uint64
	vms      []storer.VM
	changed  chan struct{}
	history  history
}

// grantedLease holds a lease and its time to live.
type grantedLease struct {
	lease storer.Lease
	ttl   time.Duration
}

var (
	_ storer.Store    = (*Keeper)(nil)
	_ storer.VMLister = (*Keeper)(nil)
)

// New returns an empty Keeper.
func New() *Keeper {
	return &Keeper{
		entries: make(map[string]storer.Entry),
		leases:  make(map[uint64]*grantedLease),
		changed: make(chan struct{}),
	}
}

// Get implements storer.Store.
func (k *Keeper) Get(_ context.Context, key string) (storer.Entry, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireLeases(time.Now())
	entry, ok := k.entries[key]
	if !ok {
		return storer.Entry{}, storer.ErrNotFound
	}
	return entry, nil
}

// Put implements storer.Store.
func (k *Keeper) Put(_ context.Context, key string, value []byte, opts storer.PutOptions) (storer.Version, error) {
	if len(value) > storer.MaxValueBytes {
		return storer.Version{}, storer.ErrTooLarge
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireLeases(time.Now())
	if k.entries[key].Revision != opts.IfVersion.Revision {
		return storer.Version{}, storer.ErrConflict
	}
	if opts.LeaseID != 0 && k.leases[opts.LeaseID] == nil {
		return storer.Version{}, storer.ErrLeaseGone
	}
	k.revision++
	entry := storer.Entry{
		Key:      key,
		Value:    slices.Clone(value),
		Revision: k.revision,
		LeaseID:  opts.LeaseID,
	}
	k.entries[key] = entry
	k.recordChange(storer.Change{Entry: entry})
	return storer.Version{Revision: k.revision}, nil
}

// Delete implements storer.Store.
func (k *Keeper) Delete(_ context.Context, key string, ifVersion storer.Version) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireLeases(time.Now())
	entry, ok := k.entries[key]
	if !ok {
		return storer.ErrNotFound
	}
	if entry.Revision != ifVersion.Revision {
		return storer.ErrConflict
	}
	k.removeEntry(key)
	return nil
}

// List implements storer.Store.
func (k *Keeper) List(_ context.Context, prefix string) ([]storer.Entry, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireLeases(time.Now())
	return k.list(prefix), nil
}

// list returns the entries of a prefix, ordered by key.
func (k *Keeper) list(prefix string) []storer.Entry {
	entries := make([]storer.Entry, 0)
	for key, entry := range k.entries {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b storer.Entry) int { return strings.Compare(a.Key, b.Key) })
	return entries
}

// Watch implements storer.Store.
func (k *Keeper) Watch(ctx context.Context, key string, after storer.Version) (storer.Entry, error) {
	limit := time.NewTimer(maxWatchDuration)
	defer limit.Stop()
	for {
		k.mu.Lock()
		k.expireLeases(time.Now())
		entry := k.entries[key]
		changed := k.changed
		k.mu.Unlock()
		if entry.Revision > after.Revision {
			return entry, nil
		}
		select {
		case <-changed:
		case <-limit.C:
			return storer.Entry{}, storer.ErrNotChanged
		case <-ctx.Done():
			return storer.Entry{}, ctx.Err()
		}
	}
}

// Grant implements storer.Store.
func (k *Keeper) Grant(_ context.Context, ttl time.Duration) (storer.Lease, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.nextID++
	g := &grantedLease{
		lease: storer.Lease{ID: k.nextID, Deadline: time.Now().Add(ttl)},
		ttl:   ttl,
	}
	k.leases[k.nextID] = g
	return g.lease, nil
}

// Renew implements storer.Store.
func (k *Keeper) Renew(_ context.Context, lease storer.Lease) (storer.Lease, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireLeases(time.Now())
	g := k.leases[lease.ID]
	if g == nil {
		return storer.Lease{}, storer.ErrLeaseGone
	}
	g.lease.Deadline = time.Now().Add(g.ttl)
	return g.lease, nil
}

// Revoke implements storer.Store.
func (k *Keeper) Revoke(_ context.Context, lease storer.Lease) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireLeases(time.Now())
	if k.leases[lease.ID] == nil {
		return storer.ErrLeaseGone
	}
	k.removeLease(lease.ID)
	return nil
}

// VMs implements storer.VMLister.
func (k *Keeper) VMs(context.Context) ([]storer.VM, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.vms), nil
}

// SetVMs replaces the VM list.
func (k *Keeper) SetVMs(vms []storer.VM) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.vms = slices.Clone(vms)
}

// expireLeases removes the leases whose deadline has passed, with their keys.
func (k *Keeper) expireLeases(now time.Time) {
	for id, g := range k.leases {
		if now.After(g.lease.Deadline) {
			k.removeLease(id)
		}
	}
}

// removeLease removes a lease and all keys attached to it.
func (k *Keeper) removeLease(id uint64) {
	delete(k.leases, id)
	for key, entry := range k.entries {
		if entry.LeaseID == id {
			k.removeEntry(key)
		}
	}
}

func (k *Keeper) removeEntry(key string) {
	k.revision++
	delete(k.entries, key)
	k.recordChange(storer.Change{Entry: storer.Entry{Key: key, Revision: k.revision}, Removed: true})
}

func (k *Keeper) recordChange(c storer.Change) {
	k.history.add(c)
	k.notifyWatchers()
}

func (k *Keeper) notifyWatchers() {
	close(k.changed)
	k.changed = make(chan struct{})
}
