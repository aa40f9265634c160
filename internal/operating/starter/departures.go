package starter

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/membership/watcher"
	"gentianstep.example/gentianstep/internal/membership/withdrawer"
	"gentianstep.example/gentianstep/internal/peering/messenger"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

const (
	// routerRepeatInterval is the interval at which a controller resends the list
	// of leaving upstreams to its routers.
	routerRepeatInterval = 3 * time.Second
	// peerRepeatInterval is the interval at which it resends the list to the other
	// controllers.
	peerRepeatInterval = 30 * time.Second
)

// departures propagates leaving upstreams from a controller to its routers and
// the other controllers.
type departures struct {
	control    *control
	withdrawer *withdrawer.Withdrawer
}

// newDepartures creates the component that tracks leaving upstreams.
func (c *control) newDepartures() {
	c.departures = &departures{control: c}
	c.departures.withdrawer = withdrawer.New(withdrawer.Config{OnDepartures: c.departures.broadcast, Log: c.log})
}

// setBundle sets the tracked upstreams to those of the bundle in force.
func (d *departures) setBundle(b *checker.Bundle) { d.withdrawer.SetUpstreams(upstreamNames(b)) }

// handleVMList applies the platform's list of VMs. Its entries are matched to
// upstreams by address.
func (d *departures) handleVMList(b *checker.Bundle, vms []storer.VM) {
	leaving := make(map[netip.AddrPort]bool)
	for _, vm := range vms {
		leaving[vm.Address] = leaving[vm.Address] || vm.State == storer.Leaving
	}
	var names []string
	for _, u := range b.Upstreams {
		if leaving[u.Address] {
			names = append(names, u.Name)
		}
	}
	d.withdrawer.HandlePlatformList(time.Now(), names)
}

// handleLeaving handles a response in which an upstream states that it is leaving.
func (c *control) handleLeaving(now time.Time, name string) {
	c.departures.withdrawer.HandleLeavingRefusal(now, name)
}

func (d *departures) handleReports(reports []observer.Report) {
	d.withdrawer.HandleReports(time.Now(), reports)
}

// handleMessage applies departures received from a router or another controller
// and forwards those that changed the state of an upstream. Only departures from
// routers are forwarded to the other controllers, so that messages do not loop.
func (d *departures) handleMessage(from messenger.Role, m messenger.Departures) {
	changed := d.withdrawer.ApplyDepartures(m.Departures)
	if len(changed) == 0 {
		return
	}
	if from == messenger.Router {
		d.broadcast(changed)
		return
	}
	d.broadcastToRouters(changed)
}

// broadcast sends departures to the routers and the other controllers.
func (d *departures) broadcast(list []watcher.Departure) {
	d.broadcastToRouters(list)
	d.control.peers.Broadcast(newDeparturesMessage(list))
}

func (d *departures) broadcastToRouters(list []watcher.Departure) {
	d.control.distributor.Broadcast(newDeparturesMessage(list))
}

// run resends the list of leaving upstreams at intervals, because messages may
// be lost.
func (d *departures) run(ctx context.Context) {
	ticker := time.NewTicker(routerRepeatInterval)
	defer ticker.Stop()
	nextPeerRepeat := time.Now().Add(peerRepeatInterval)
	for {
		select {
		case now := <-ticker.C:
			d.withdrawer.Tick(now)
			list := d.withdrawer.Departures(now)
			if len(list) == 0 {
				continue
			}
			if now.Before(nextPeerRepeat) {
				d.broadcastToRouters(list)
				continue
			}
			nextPeerRepeat = now.Add(peerRepeatInterval)
			d.broadcast(list)
		case <-ctx.Done():
			return
		}
	}
}

func newDeparturesMessage(list []watcher.Departure) messenger.Message {
	return messenger.Message{Departures: &messenger.Departures{Departures: slices.Clone(list)}}
}

func upstreamNames(b *checker.Bundle) []string {
	names := make([]string, 0, len(b.Upstreams))
	for _, u := range b.Upstreams {
		names = append(names, u.Name)
	}
	return names
}
