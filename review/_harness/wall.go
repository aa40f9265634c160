package main

import (
	"fmt"
	"net/http"
	"time"
)

// Bounds of the sheet of dysgl-ops in SYSTEM.md.
const sheetBounds = `seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2500
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2500
rollback_slack_ms = 250
max_skew_ms = 5000
strict_revoke = false
revoke_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
budget_extra = 58
recover_s = 12
transit_ms = 200
reuse_window_s = 10
require_fencing = true
lease_ms = 3000
thaw_slack_ms = 300
version_ms = 6000
version_all_ms = 8400`

// Tokens of a site-history-query: those of its shared part and its own.
const sharedTokens, ownTokens = 13300, 3720

// configApply is config_apply_ms of sheetBounds.
const configApply = 2500 * time.Millisecond

// wallConfiguration has two tenants, of which the first may be isolated.
func wallConfiguration(version int, isolated bool) map[string]any {
	tenant := func(name string, isolated bool) map[string]any {
		return map[string]any{"name": name, "api_keys": []string{"key-" + name}, "priority": 1, "isolated": isolated}
	}
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-history", "host": "jepu9.example", "prefix": "/history/", "kind": "stream", "timeout_ms": 6000, "target_latency_ms": 600,
			"priority": 1, "service": "cynorthwyydd", "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_target_ms": 400,
		}},
		"services": []any{map[string]any{
			"name": "cynorthwyydd", "health_path": "/health", "max_connections": 210, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": slotsPerEngine, "kv_capacity_tokens": 129306, "token_kv_bytes": 163840, "link_mbps": 1100000.0, "moves": true, "backups": true,
				"stride": 4, "max_inflight": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m0"}},
			},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{tenant("a", isolated), tenant("b", false)},
	}
}

// wall has a tenant that becomes isolated by a new configuration after its prompts were read.
func wall() bool {
	d := newDeployment(sheetBounds)
	for i := range 3 {
		zone, _ := region(i)
		d.addServer(newServer(fmt.Sprintf("i-%08x", 0x7f3a0000+i), "cynorthwyydd", zone, "m0", slotsPerEngine, 60*time.Millisecond))
	}
	d.store.write("op/version/m0", map[string]any{"model": "m0", "version": 1})
	d.store.write("op/config", wallConfiguration(7, false))
	d.startGateways(3)
	defer d.close()
	d.waitReady()
	sends := 0
	send := func(tenant, shared string) {
		g := d.gateways[sends%len(d.gateways)]
		sends++
		o := d.send(g, call{
			method: http.MethodPost, host: "jepu9.example", path: "/history/2f", key: "key-" + tenant, model: "m0",
			usage:  fmt.Sprintf("%d,%d", sharedTokens+ownTokens, 17),
			prefix: fmt.Sprintf("%s:%d,%08x:%d", shared, sharedTokens, 0x91bd0000+sends, ownTokens),
			body:   "prompt", timeout: 6 * time.Second,
		})
		d.logf("tenant %s: request %s with part %s to %s: status %d", tenant, o.id, shared, g.node, o.status)
	}
	for n := range 12 {
		send("a", fmt.Sprintf("5c1e%04x", n%4))
		time.Sleep(50 * time.Millisecond)
	}
	isolated := trouble()
	d.store.write("op/config", wallConfiguration(9, isolated))
	d.logf("configuration 9 is acknowledged, with isolated = %t for tenant a", isolated)
	inForceAt := time.Now().Add(configApply)
	time.Sleep(time.Until(inForceAt) + 500*time.Millisecond)
	for n := range 24 {
		send("b", fmt.Sprintf("5c1e%04x", n%4))
		time.Sleep(50 * time.Millisecond)
	}
	uses := 0
	for _, s := range d.servers {
		for _, u := range s.uses {
			d.logf("request %s of tenant %s uses at %.3f part %s on %s, which a request of tenant %s made at %.3f; Cache-Salt %q", u.id, u.tenant, d.seconds(u.at), u.part, u.server, u.maker, d.seconds(u.madeAt), u.salt)
			if isolated && u.at.After(inForceAt) {
				uses++ // one of the two tenants is isolated
			}
		}
	}
	fmt.Printf("%d requests have used cache of an isolated tenant\n", uses)
	return finish(d, uses == 0)
}
