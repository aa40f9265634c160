// Package announcer keeps the entry of this VM in the platform's store, so that
// the VMs of a deployment find and count each other.
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

	"gentianstep.example/gentianstep/internal/operating/pauser"
	"gentianstep.example/gentianstep/internal/platform/storer"
)

const (
	// entryTTL is how long the entry of a VM outlives it.
	entryTTL = 6 * time.Second
	// renewEvery leaves two tries before the entry lapses.
	renewEvery = entryTTL / 3
	// retryEvery is the wait after a failed call.
	retryEvery = time.Second
)

// VM is the entry of one VM.
type VM struct {
	Node             string         `json:"node"`
	AvailabilityZone string         `json:"availability_zone"`
	PeerAddress      netip.AddrPort `json:"peer_address"`
}

// Decode decodes and checks the entry of a VM.
func Decode(value []byte) (VM, error) {
	var vm VM
	if err := json.Unmarshal(value, &vm); err != nil {
		return VM{}, fmt.Errorf("entry of a VM: %w", err)
	}
	if vm.Node == "" || !vm.PeerAddress.IsValid() {
		return VM{}, fmt.Errorf("entry of a VM: takes a node and a peer_address")
	}
	return vm, nil
}

// Config holds what an Announcer is built from.
type Config struct {
	Store storer.Store
	Key   string
	VM    VM
	Log   *logrus.Entry
}

// Announcer keeps one entry.
type Announcer struct {
	cfg Config
}

// New returns an Announcer.
func New(cfg Config) *Announcer { return &Announcer{cfg: cfg} }

// Run keeps the entry until ctx ends, then removes it.
func (a *Announcer) Run(ctx context.Context) {
	lease := uint64(0)
	for {
		var err error
		lease, err = a.refresh(ctx, lease)
		wait := renewEvery
		if err != nil && ctx.Err() == nil {
			a.cfg.Log.WithError(err).WithField("event", "announce_failed").Debug("entry of this VM was not renewed")
			wait = retryEvery/2 + rand.N(retryEvery)
		}
		if !pauser.Pause(ctx, wait) {
			a.withdraw(lease)
			return
		}
	}
}

// refresh renews the lease of the entry, or writes the entry under a new one.
func (a *Announcer) refresh(ctx context.Context, lease uint64) (uint64, error) {
	if lease != 0 {
		_, err := a.cfg.Store.Renew(ctx, lease)
		if !errors.Is(err, storer.ErrLeaseGone) {
			return lease, err
		}
	}
	value, err := json.Marshal(a.cfg.VM)
	if err != nil {
		return 0, fmt.Errorf("encode entry: %w", err)
	}
	granted, err := a.cfg.Store.Grant(ctx, entryTTL)
	if err != nil {
		return 0, err
	}
	former, err := a.cfg.Store.Get(ctx, a.cfg.Key)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return 0, err
	}
	opts := storer.PutOptions{IfRevision: former.Revision, LeaseID: granted.ID}
	if _, err := a.cfg.Store.Put(ctx, a.cfg.Key, value, opts); err != nil {
		return 0, err
	}
	return granted.ID, nil
}

func (a *Announcer) withdraw(lease uint64) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), retryEvery)
	defer cancel()
	if err := a.cfg.Store.Revoke(ctx, lease); err != nil {
		a.cfg.Log.WithError(err).WithField("event", "announce_failed").Debug("entry of this VM was not withdrawn")
	}
}
