package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"time"
)

// Names of the stand-in deployment.
const (
	engineService = "llm"
	plainService  = "desk"
	model         = "m0"
	routeHost     = "a.example"
	tenantKey     = "t1-key"
	// crashingPart is a part of prompts that crashes workers.
	crashingPart = "deadbeef"
	fieldName    = "name"
	fieldVersion = "version"
)

const (
	// heartbeat is the interval at which workers write their entries.
	heartbeat = 1200 * time.Millisecond
	// missedHeartbeats is the number of silent intervals after which an entry is removed.
	missedHeartbeats = 3
	readyTimeout     = 15 * time.Second
	// stableWindow is stable_window_ms of the settings.
	stableWindow = 3 * time.Second
)

// siteConfig configures a site.
type siteConfig struct {
	Program string
	Record  *record
	// Trouble is false for the same case without its disruption.
	Trouble bool
}

// site is a deployment on loopback: the platform's store, workers and gateways.
type site struct {
	siteConfig
	dir          string
	store        *store
	storeAddress string
	servers      []*http.Server
	version      int

	gateways []*gateway
	workers  []*worker
}

func newSite(cfg siteConfig) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	s := &site{siteConfig: cfg, dir: dir, store: newStore()}
	listener, err := listen("127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	s.storeAddress = listener.Addr().String()
	server := &http.Server{Handler: s.store, ReadHeaderTimeout: time.Minute}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	s.store.put("op/version/"+model, map[string]any{"model": model, fieldVersion: 1})
	return s, nil
}

// close ends all processes and servers.
func (s *site) close() {
	for _, g := range s.gateways {
		g.end()
	}
	for _, w := range s.workers {
		w.stop()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	_ = os.RemoveAll(s.dir)
}

// route returns a route of the configuration.
func route(name, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		fieldName: name, "host": routeHost, "prefix": "/" + name + "/", "kind": kind, "service": service,
		"timeout_ms": 6000, "target_latency_ms": 800, "priority": 1, "max_attempts": 2,
		"public": false, "sticky": kind == "stream", "resumable": false, "gap_target_ms": 400,
	}
	maps.Copy(r, more)
	return r
}

// tenants returns the tenants of the configuration.
func tenants() []map[string]any {
	return []map[string]any{{fieldName: "t1", "api_keys": []string{tenantKey}, "priority": 1, "isolated": false}}
}

// configure writes the next version of the configuration, as the operator does.
func (s *site) configure(routes []map[string]any) {
	s.version++
	s.store.put("op/config", map[string]any{
		fieldVersion: s.version,
		"routes":     routes,
		"services": []any{
			map[string]any{fieldName: engineService, "health_path": "/health", "max_connections": 210, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 24, "kv_capacity_tokens": 129306, "token_kv_bytes": 163840, "link_mbps": 1100000.0, "max_inflight": 12,
				"models": []any{map[string]any{fieldName: model}},
			}},
			map[string]any{fieldName: plainService, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants(),
	})
	s.Record.printf("operator: configuration %d is acknowledged", s.version)
}

// addWorkers starts n workers of a service, each at an address of its own.
func (s *site) addWorkers(ctx context.Context, service string, n, slots int, answer func(*worker) answerFunc) error {
	for i := range n {
		w := &worker{site: s, place: fmt.Sprintf("%s-%d", service, i+1), service: service, slots: slots}
		w.answer = answer(w)
		address, err := freeAddress(fmt.Sprintf("127.0.1.%d", len(s.workers)+1))
		if err != nil {
			return err
		}
		w.address = address
		if err := w.start(); err != nil {
			return err
		}
		s.workers = append(s.workers, w)
		go w.run(ctx)
	}
	return nil
}

// startGateways starts n gateways and waits until all are ready.
func (s *site) startGateways(ctx context.Context, n int) error {
	for i := range n {
		g, err := newGateway(s, i)
		if err != nil {
			return err
		}
		s.gateways = append(s.gateways, g)
	}
	for _, g := range s.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	return s.waitReady(ctx)
}

func (s *site) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for _, g := range s.gateways {
		for !g.isReady(ctx) {
			if time.Now().After(deadline) {
				return errors.New("a gateway is not ready")
			}
			pause(ctx, 50*time.Millisecond)
		}
	}
	s.Record.printf("all gateways are ready")
	return nil
}

// settle waits until all gateways count as in touch.
func (s *site) settle(ctx context.Context) { pause(ctx, stableWindow+time.Second) }

// freeAddress returns an unused port at a loopback address, of which the next one is
// unused as well.
func freeAddress(ip string) (string, error) {
	for range 100 {
		l, err := listen(ip + ":0")
		if err != nil {
			return "", fmt.Errorf("find a free port: %w", err)
		}
		address := l.Addr().(*net.TCPAddr)
		next, err := listen(fmt.Sprintf("%s:%d", ip, address.Port+1))
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = next.Close()
		return address.String(), nil
	}
	return "", errors.New("find a free port: none")
}

// listen opens a listener at a loopback address.
func listen(address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
