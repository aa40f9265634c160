package starter

import (
	"context"
	"net/netip"
	"time"

	"gentianstep.example/gentianstep/internal/membership/announcer"
	"gentianstep.example/gentianstep/internal/peering/exchanger"
)

// peerAddresses returns the peer addresses of the other VMs: those announced in
// the store and the seed peers from the settings.
func (g *gateway) peerAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, vm := range g.announcedVMs() {
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

// announcedVMs returns the VMs that have announced themselves in the store. It
// logs and skips entries that cannot be decoded.
func (g *gateway) announcedVMs() []announcer.VM {
	var vms []announcer.VM
	for _, e := range g.informer.VMs() {
		if e.Key == weightsLeaseKey {
			continue
		}
		vm, err := announcer.DecodeVM(e.Value)
		if err != nil {
			g.log.WithError(err).WithField("event", "entry_ignored").Warn("ignoring a store entry that is not a valid VM")
			continue
		}
		vms = append(vms, vm)
	}
	return vms
}

// runVMCount counts the VMs, among which the limits are divided. A lower count
// takes effect only after the current one has not been reached for vmCountTTL.
func (g *gateway) runVMCount(ctx context.Context) {
	ticker := time.NewTicker(vmCountInterval)
	defer ticker.Stop()
	highest, expires := 0, time.Time{}
	for {
		now := time.Now()
		if n := len(g.announcedVMs()); n >= highest || !now.Before(expires) {
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
