package starter

import (
	"context"
	"net/netip"
	"time"

	"gentianstep.example/gentianstep/internal/membership/announcer"
	"gentianstep.example/gentianstep/internal/peering/exchanger"
)

// peers returns the addresses of the other VMs, those of the settings included.
func (g *gateway) peers() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, vm := range g.vms() {
		addresses = append(addresses, vm.PeerAddress)
	}
	settings := g.settings.Load()
	return exchanger.OtherAddresses(settings.PeerAddress, append(addresses, settings.SeedPeers...))
}

func (g *gateway) vms() []announcer.VM {
	var vms []announcer.VM
	for _, e := range g.inform.VMs() {
		if e.Key == weightsKey {
			continue
		}
		vm, err := announcer.DecodeVM(e.Value)
		if err != nil {
			g.log.WithError(err).WithField("event", "entry_ignored").Warn("entry names no VM")
			continue
		}
		vms = append(vms, vm)
	}
	return vms
}

// loopCount counts the VMs among which limits are shared.
func (g *gateway) loopCount(ctx context.Context) {
	ticker := time.NewTicker(countEvery)
	defer ticker.Stop()
	highest, until := 0, time.Time{}
	for {
		now := time.Now()
		if n := len(g.vms()); n >= highest || !now.Before(until) {
			if n != highest {
				g.forward.SetVMs(n)
			}
			highest, until = n, now.Add(countKept)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
