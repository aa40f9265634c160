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
	// routersInterval is the time between two messages that repeat to the
	// routers which upstreams are leaving.
	routersInterval = 3 * time.Second
	// peersInterval is the same for the other controllers.
	peersInterval = 30 * time.Second
)

// departures spreads from a controller which upstreams are leaving.
type departures struct {
	control  *control
	withdraw *withdrawer.Withdrawer
}

// newDepartures adds the part that follows which upstreams leave.
func (c *control) newDepartures() {
	c.depart = &departures{control: c}
	c.depart.withdraw = withdrawer.New(withdrawer.Config{OnDepartures: c.depart.tellAll, Log: c.log})
}

// bundle takes the upstreams of the bundle in force.
func (d *departures) bundle(b *checker.Bundle) { d.withdraw.SetUpstreams(upstreamNames(b)) }

// vms takes the platform's list, whose rows are matched by address.
func (d *departures) vms(b *checker.Bundle, vms []storer.VM) {
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
	d.withdraw.HandlePlatformList(time.Now(), names)
}

func (d *departures) reports(reports []observer.Report) {
	d.withdraw.HandleReports(time.Now(), reports)
}

// message takes what a router or another controller passes on. Only news of a
// router go to the other controllers, so that none goes round.
func (d *departures) message(from messenger.Role, m messenger.Departures) {
	news := d.withdraw.ApplyDepartures(m.Departures)
	if len(news) == 0 {
		return
	}
	if from == messenger.Router {
		d.tellAll(news)
		return
	}
	d.tellRouters(news)
}

func (d *departures) tellAll(list []watcher.Departure) {
	d.tellRouters(list)
	d.control.peers.Broadcast(departuresMessage(list))
}

func (d *departures) tellRouters(list []watcher.Departure) {
	d.control.spread.Broadcast(departuresMessage(list))
}

// run repeats what is leaving, for those who missed it.
func (d *departures) run(ctx context.Context) {
	ticker := time.NewTicker(routersInterval)
	defer ticker.Stop()
	peersAt := time.Now().Add(peersInterval)
	for {
		select {
		case now := <-ticker.C:
			d.withdraw.Tick(now)
			list := d.withdraw.Departures(now)
			if len(list) == 0 {
				continue
			}
			if now.Before(peersAt) {
				d.tellRouters(list)
				continue
			}
			peersAt = now.Add(peersInterval)
			d.tellAll(list)
		case <-ctx.Done():
			return
		}
	}
}

func departuresMessage(list []watcher.Departure) messenger.Message {
	return messenger.Message{Departures: &messenger.Departures{Departures: slices.Clone(list)}}
}

func upstreamNames(b *checker.Bundle) []string {
	names := make([]string, 0, len(b.Upstreams))
	for _, u := range b.Upstreams {
		names = append(names, u.Name)
	}
	return names
}
