package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// worker is a small stand-in for a worker of the platform. It registers itself in the store.
type worker struct {
	id, service, address, zone string
	slots                      int
	born                       int64
	rec                        *record
	// handle serves a request whose body was read; nil answers it with success at once.
	handle func(w http.ResponseWriter, r *http.Request, body []byte)

	server *http.Server
	mu     sync.Mutex
	runs   map[string]int
}

func newWorker(id, service string, rec *record) *worker {
	return &worker{
		id: id, service: service, zone: "gogledd-a", slots: 6, born: time.Now().UnixMilli(), rec: rec,
		runs: make(map[string]int),
	}
}

// serve starts the worker on a loopback address and writes its entry.
func (k *worker) serve(s *store, ip string) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	k.address = l.Addr().String()
	k.server = &http.Server{Handler: k}
	go func() { _ = k.server.Serve(l) }()
	s.put("servers/"+k.id, k.entry())
}

// close ends the worker.
func (k *worker) close() { _ = k.server.Close() }

func (k *worker) entry() map[string]any {
	return map[string]any{
		"service": k.service, "address": k.address, "zone": k.zone, "version": "v1", "slots": k.slots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 0, "born": k.born,
	}
}

// ServeHTTP implements http.Handler.
func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", k.id)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/api/") {
		http.NotFound(w, r)
		return
	}
	id := r.Header.Get("Request-Id")
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != k.id {
		w.Header().Set("Request-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	k.mu.Lock()
	k.runs[id]++
	k.mu.Unlock()
	if k.handle != nil {
		k.handle(w, r, body)
		return
	}
	k.answer(w, r, fmt.Sprintf("answer to %s, %d bytes", id, len(body)))
}

// answer sends a complete signed answer.
func (k *worker) answer(w http.ResponseWriter, r *http.Request, text string) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Signature", "3e1b."+id+"."+k.id)
	_, _ = io.WriteString(w, text)
}

// ran returns how often the worker ran a request.
func (k *worker) ran(id string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.runs[id]
}

// limits of the configuration, as fleetbench wire shows them for the site.
var siteLimits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}

const host = "jepu9.example"

// route returns a route of the configuration.
func route(name, kind, service string, timeoutMS int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeoutMS, "target_latency_ms": 120,
		"priority": 1, "service": service, "max_attempts": 2, "public": false, "sticky": false, "resumable": false,
	}
}

func configuration(version int, routes []map[string]any, services ...string) map[string]any {
	list := []map[string]any{}
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list, "limits": siteLimits,
		"tenants": []map[string]any{{"name": "sese880", "api_keys": []string{"ctnfzs989anu6wsjnban"}, "priority": 1, "isolated": false}},
	}
}

// head returns the head of a request without the fields that state its body.
func head(method, path, id string, deadlineMS int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nCredential: ctnfzs989anu6wsjnban\r\n", method, path, host, id, deadlineMS)
	return b.String()
}
