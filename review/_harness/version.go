package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// versionTime is version_ms of sheetBounds.
	versionTime = 6 * time.Second
	// silenceAt is when the open connections to the store go silent, after the start.
	silenceAt = 24 * time.Second
)

// versionSilence has the open connections to the store go silent. The holder of the lease for
// roll-outs then leaves as planned, and new weights are named.
func versionSilence() bool {
	d := newDeployment(sheetBounds)
	for i := range 12 {
		zone, _ := region(i)
		d.addServer(newServer(fmt.Sprintf("i-%08x", 0x7f3a0000+i), "cynorthwyydd", zone, "m0", slotsPerEngine, 60*time.Millisecond))
	}
	d.store.write("op/version/m0", map[string]any{"model": "m0", "version": 1})
	d.store.write("op/config", wallConfiguration(7, false))
	d.startGateways(9)
	defer d.close()
	d.waitReady()
	time.Sleep(time.Until(d.started.Add(silenceAt)))
	if trouble() {
		d.storeListener.silence()
		d.logf("the open connections to the store are silent from now on")
	}
	time.Sleep(stableWindow)
	holder := d.leaseHolder()
	d.logf("%s, which holds the lease, gets SIGTERM and leaves", holder.node)
	_ = holder.process.Process.Signal(syscall.SIGTERM)
	<-holder.done
	d.store.write("op/version/m0", map[string]any{"model": "m0", "version": 2})
	ackAt := time.Now()
	d.logf("version 2 of the weights is acknowledged")
	d.sendPrompts(holder, ackAt.Add(versionTime*3/2+500*time.Millisecond))
	old := 0
	for _, s := range d.servers {
		for _, o := range s.orders {
			d.logf("server %s got an order for version %d with fence %d from %s at %.3f", s.id, o.version, o.fence, o.holder, d.seconds(o.at))
		}
		if s.currentVersion() < 2 {
			old++
		}
	}
	d.logf("VERSION: %d of %d servers have version 1 when the traffic ends, %.1f s after the ack of version 2", old, len(d.servers), time.Since(ackAt).Seconds())
	fmt.Printf("%d of %d servers have older weights at the end\n", old, len(d.servers))
	return finish(d, old <= 1 || old*10 <= len(d.servers))
}

// sendPrompts sends prompts to all gateways but one.
func (d *deployment) sendPrompts(left *gateway, until time.Time) {
	var group sync.WaitGroup
	for i, g := range d.gateways {
		if g == left {
			continue
		}
		group.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				time.Sleep(100 * time.Millisecond)
				o := d.send(g, call{
					method: http.MethodPost, host: "jepu9.example", path: "/history/2f", key: "key-a", model: "m0",
					usage: "383,6", prefix: fmt.Sprintf("5c1e%04x:92,%04x%04x:291", n%4, i, n), body: "prompt", timeout: 4 * time.Second,
				})
				d.logf("request %s sent at %.3f to %s: status %d", o.id, d.seconds(o.sentAt), g.node, o.status)
			}
		})
	}
	group.Wait()
}
