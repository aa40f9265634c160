package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["isolated"] = playIsolated }

const (
	// isolatedRounds is the number of prompts that both organisations share.
	isolatedRounds = 20
	keyOfA         = "ctnfzs989anu6wsjnban"
	keyOfB         = "fqasnmgkcuyj8pjbvk9m"
	isolatedModel  = "daka510000"
)

// cachingEngine is a worker that keeps the parts of prompts under their salt, and remembers
// which tenant made each.
type cachingEngine struct {
	*worker
	kept sync.Mutex
	// makers maps salt and part to the tenant whose request made the part.
	makers map[string]string
	uses   []cacheUse
}

// cacheUse is the use of a part that a request of another tenant made.
type cacheUse struct{ id, tenant, maker, part, salt string }

// serveStream answers as a stream of two events.
func (c *cachingEngine) serveStream(w http.ResponseWriter, r *http.Request, _ []byte) {
	id, tenant, salt := r.Header.Get("Request-Id"), r.Header.Get("Tenant-Id"), r.Header.Get("Cache-Salt")
	c.kept.Lock()
	for _, entry := range strings.Split(r.Header.Get("Prompt-Prefix"), ",") {
		part, _, _ := strings.Cut(entry, ":")
		key := salt + "|" + part
		maker, ok := c.makers[key]
		if !ok {
			c.makers[key] = tenant
			continue
		}
		if maker != tenant {
			c.uses = append(c.uses, cacheUse{id, tenant, maker, part, salt})
		}
	}
	c.kept.Unlock()
	c.rec.add("engine %s runs %s of tenant %s with salt %q: %s", c.id, id, tenant, salt, r.Header.Get("Prompt-Prefix"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	c.answer(w, r, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
}

// tenants returns the tenants of a configuration.
func tenants(isolated bool) []map[string]any {
	return []map[string]any{
		{"name": "tenant-a", "api_keys": []string{keyOfA}, "priority": 1, "isolated": isolated},
		{"name": "tenant-b", "api_keys": []string{keyOfB}, "priority": 1, "isolated": false},
	}
}

// ask sends a prompt with a shared part and returns the status of the answer.
func ask(front, key, id, shared string) int {
	r, _ := http.NewRequest(http.MethodPost, "http://"+front+"/note/x", strings.NewReader("hello"))
	r.Host = host
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "4000")
	r.Header.Set("Credential", key)
	r.Header.Set("Model", isolatedModel)
	r.Header.Set("Token-Usage", "500,10")
	r.Header.Set("Prompt-Prefix", fmt.Sprintf("%s:400,%s:100", shared, strings.ReplaceAll(id, "-", "")))
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// playIsolated has an organisation become isolated by a version of the configuration; without the
// disruption it is from the first version on. The rule is broken if a later request of another one
// uses what its requests have cached.
func playIsolated(e *env) int {
	c := &cachingEngine{worker: newWorker("i-1", "model", e.rec), makers: make(map[string]string)}
	c.handle, c.slots, c.models = c.serveStream, 24, []map[string]any{{"name": isolatedModel, "version": 1, "adapters": []string{}}}
	c.serve(e.store, "127.0.0.1")
	configure := func(version int, isolated bool) {
		note := route("note", "stream", "model", 4000)
		note["sticky"], note["target_latency_ms"] = true, 800
		cfg := configuration(version, []map[string]any{note}, "model")
		cfg["services"] = []map[string]any{{
			"name": "model", "health_path": "/health", "max_connections": 210, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 24, "kv_capacity_tokens": 129306, "token_kv_bytes": 163840, "link_mbps": 1100000.0,
				"max_inflight": 12, "models": []map[string]any{{"name": isolatedModel}},
			},
		}}
		cfg["tenants"] = tenants(isolated)
		e.store.put("op/config", cfg)
		e.rec.add("configuration %d: tenant-a isolated %v", version, isolated)
	}
	configure(1, !e.trouble)
	e.store.put("op/version/"+isolatedModel, map[string]any{"model": isolatedModel, "version": 1})
	g := newGateway(e.dir, "vm1", "127.0.0.2", e.storeAddress, machine{memoryMB: siteMemoryMB, maxFDs: siteMaxFDs}, siteBounds)
	g.start(e.program)
	defer g.stop()
	if !g.waitReady(15 * time.Second) {
		return couldNot
	}
	time.Sleep(4 * time.Second)
	served := 0
	for n := range isolatedRounds {
		if ask(g.front, keyOfA, fmt.Sprintf("a-%03d", n), fmt.Sprintf("5c1e%04x", n)) == http.StatusOK {
			served++
		}
	}
	configure(2, true)
	time.Sleep(4 * time.Second) // longer than config_apply_ms
	for n := range isolatedRounds {
		if ask(g.front, keyOfB, fmt.Sprintf("b-%03d", n), fmt.Sprintf("5c1e%04x", n)) == http.StatusOK {
			served++
		}
	}
	c.kept.Lock()
	defer c.kept.Unlock()
	e.rec.add("%d of %d requests served; %d requests of tenant-b used parts that requests of tenant-a made", served, 2*isolatedRounds, len(c.uses))
	switch {
	case served < isolatedRounds:
		return couldNot
	case len(c.uses) > 0:
		return broken
	}
	return held
}
