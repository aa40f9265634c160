package starter

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/announcer"
	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/peering/exchanger"
	"gentianstep.example/gentianstep/internal/placement/leaser"
	"gentianstep.example/gentianstep/internal/platform/storer"
)

// vmDirectory holds the decoded entries of the deployment's VMs. They are decoded once
// for each change, since they are looked up for each message between VMs.
type vmDirectory struct {
	informer *informer.Informer
	log      *logrus.Entry

	mu     sync.Mutex
	latest *announcedVMs
	// ignored holds the entries that cannot be decoded, by key, as of the last change.
	ignored map[string]storer.Version
}

// announcedVMs is the decoded state of the VMs' entries. It is not modified.
type announcedVMs struct {
	changes uint64
	vms     []announcer.VM
	// leaseHolder is the last known holder of the lease for roll-outs.
	leaseHolder string
}

// find returns the VM of a node.
func (a *announcedVMs) find(node string) (announcer.VM, bool) {
	for _, vm := range a.vms {
		if vm.Node == node {
			return vm, true
		}
	}
	return announcer.VM{}, false
}

// load returns the current state. It skips entries that cannot be decoded, and logs each
// of their versions once.
func (d *vmDirectory) load() *announcedVMs {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes := d.informer.ChangeCount(systemPrefix)
	if d.latest != nil && d.latest.changes == changes {
		return d.latest
	}
	state, ignored := &announcedVMs{changes: changes}, make(map[string]storer.Version)
	for _, e := range d.informer.VMs() {
		var err error
		switch e.Key {
		case quarantinesKey:
		case weightsLeaseKey:
			state.leaseHolder, err = leaser.ParseHolder(e.Value)
		default:
			var vm announcer.VM
			if vm, err = decodeVM(e); err == nil {
				state.vms = append(state.vms, vm)
			}
		}
		if err == nil {
			continue
		}
		ignored[e.Key] = e.Version()
		if d.ignored[e.Key] != e.Version() {
			d.log.WithError(err).WithFields(logrus.Fields{"event": "entry_ignored", "key": e.Key}).Warn("ignoring an invalid store entry")
		}
	}
	d.latest, d.ignored = state, ignored
	return state
}

// decodeVM decodes the entry of a VM, which is under the name of its node.
func decodeVM(e storer.Entry) (announcer.VM, error) {
	vm, err := announcer.DecodeVM(e.Value)
	if err == nil && e.Key != vmPrefix+vm.Node {
		return announcer.VM{}, fmt.Errorf("entry of VM %q is under another key", vm.Node)
	}
	return vm, err
}

// peerAddresses returns the peer addresses of the other VMs: those announced in
// the store and the seed peers from the settings.
func (g *gateway) peerAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, vm := range g.vms.load().vms {
		addresses = append(addresses, vm.PeerAddress)
	}
	settings := g.settings.Load()
	return exchanger.OtherAddresses(settings.PeerAddress, append(addresses, settings.SeedPeers...))
}

// ownVM returns the entry of this VM.
func (g *gateway) ownVM() announcer.VM {
	settings := g.settings.Load()
	return announcer.VM{
		Node:               settings.Node,
		AvailabilityZone:   settings.AvailabilityZone,
		PeerAddress:        settings.PeerAddress,
		LinkBytesPerSecond: settings.LinkBytesPerSecond,
		Processors:         settings.Processors,
	}
}

// runVMCount counts the VMs, among which limits are divided, and passes on which they are. A lower count
// takes effect only after the current one has not been reached for vmCountTTL.
func (g *gateway) runVMCount(ctx context.Context) {
	ticker := time.NewTicker(vmCountInterval)
	defer ticker.Stop()
	highest, expires := 0, time.Time{}
	var known *announcedVMs
	for {
		now := time.Now()
		if latest := g.vms.load(); latest != known {
			known = latest
			g.noticer.SetFleet(g.fleet())
			g.rationer.SetFleet(g.fleet())
		}
		if n := len(g.vms.load().vms); n >= highest || !now.Before(expires) {
			if n != highest {
				g.forwarder.SetVMs(n)
			}
			highest, expires = n, now.Add(vmCountTTL)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
