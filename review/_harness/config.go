package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// stableWindow is stable_window_ms of sheetBounds.
	stableWindow = 3 * time.Second
	// stormLength and stormGap are for_s and gap_s of the site's config_storm.
	stormLength = 4 * time.Second
	stormGap    = 330 * time.Millisecond
)

const (
	serviceBefore = "amserlen"
	serviceAfter  = "amserlen-new"
)

// movedConfiguration sends the route /visit/ to a service. The time-out of another route
// differs in each version.
func movedConfiguration(version int, service string) map[string]any {
	route := func(name, service string, timeoutMS int) map[string]any {
		return map[string]any{
			"name": "r-" + name, "host": "voka93.example", "prefix": "/" + name + "/", "kind": "idempotent", "timeout_ms": timeoutMS, "target_latency_ms": 120,
			"priority": 1, "service": service, "max_attempts": 2, "public": false, "sticky": false, "resumable": false,
		}
	}
	plain := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{route("visit", service, 1200), route("other", serviceBefore, 1200+version)},
		"services": []any{plain(serviceBefore), plain(serviceAfter)},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "a", "api_keys": []string{"key-a"}, "priority": 1, "isolated": false}},
	}
}

// configSilence has the open connections to the store go silent in the midst of a series of
// configurations, of which the next one moves a route to another service.
func configSilence() bool {
	d := newDeployment(sheetBounds)
	for i := range 6 {
		zone, _ := region(i)
		service := []string{serviceBefore, serviceAfter}[i/3]
		d.addServer(newServer(fmt.Sprintf("i-%08x", 0x7f3a0000+i), service, zone, "", 6, 15*time.Millisecond))
	}
	version := 7
	d.store.write("op/config", movedConfiguration(version, serviceBefore))
	d.startGateways(9)
	defer d.close()
	d.waitReady()
	services := [2]string{serviceBefore, serviceAfter}
	late := 0
	for round := range 5 {
		late += d.moveInSilence(&version, services[round%2], services[(round+1)%2])
	}
	fmt.Printf("%d requests ran at the service of an older configuration\n", late)
	return finish(d, late == 0)
}

// moveInSilence plays one series of configurations, and returns the number of requests that ran
// at the service of before too late.
func (d *deployment) moveInSilence(version *int, before, after string) int {
	var group sync.WaitGroup
	var mu sync.Mutex
	sent := map[string]outcome{}
	end := time.Now().Add(12 * time.Second)
	for _, g := range d.gateways {
		group.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(100 * time.Millisecond)
				o := d.send(g, call{method: http.MethodGet, host: "voka93.example", path: "/visit/2f", key: "key-a", timeout: 1200 * time.Millisecond})
				d.logf("request %s sent at %.3f to %s: status %d", o.id, d.seconds(o.sentAt), g.node, o.status)
				mu.Lock()
				sent[o.id] = o
				mu.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)
	// The changes before the silence leave the route where it is; all after it move it.
	steps := int(stormLength / stormGap)
	var silentAt, ackAt time.Time
	for n := range steps {
		service := before
		if n >= steps/2 {
			service = after
		}
		*version += 2
		d.store.write("op/config", movedConfiguration(*version, service))
		d.logf("configuration %d is acknowledged: /visit/ goes to %s", *version, service)
		if n == steps/2 {
			ackAt = time.Now()
		}
		time.Sleep(stormGap / 2)
		if n == steps/2-1 {
			silentAt = time.Now()
			if trouble() {
				d.storeListener.silence()
				d.logf("the open connections to the store are silent from now on")
			}
		}
		time.Sleep(stormGap / 2)
	}
	group.Wait()
	late := 0
	for _, s := range d.servers {
		s.mu.Lock()
		for _, r := range s.runs {
			o, ok := sent[r.id]
			if !ok || s.service != before {
				continue
			}
			// In touch from stableWindow after the silence on; the bound counts from the ack.
			if o.sentAt.After(silentAt.Add(stableWindow)) && o.sentAt.After(ackAt.Add(configApply)) {
				late++
				d.logf("CONFIG: request %s, sent %.3f s after the ack and %.3f s after the silence, runs at %s of %s", r.id, o.sentAt.Sub(ackAt).Seconds(), o.sentAt.Sub(silentAt).Seconds(), s.id, s.service)
			}
		}
		s.mu.Unlock()
	}
	return late
}
