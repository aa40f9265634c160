package starter

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"runtime"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/holder"
	"gentianstep.example/gentianstep/internal/operating/certifier"
	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/operating/explainer"
	"gentianstep.example/gentianstep/internal/operating/meter"
)

// maxOperatorConnections bounds the connections of operators.
const maxOperatorConnections = 256

// Status is what a process says of itself to operators.
type Status struct {
	Deployment    string    `json:"deployment"`
	Node          string    `json:"node"`
	Region        string    `json:"region"`
	BundleVersion uint64    `json:"bundle_version"`
	InForceSince  time.Time `json:"in_force_since"`
	Stopping      bool      `json:"stopping"`
}

// operators serves health, status, metrics and decisions.
type operators struct {
	settings *configurer.Settings
	bundles  *holder.Holder
	gate     *gate
	meter    *meter.Meter
	// decisions is nil where the process routes nothing.
	decisions *explainer.Explainer
}

// listen opens the operators' listener of a process.
func (o *operators) listen(ctx context.Context, address netip.AddrPort, c *certifier.Certifier, log *logrus.Entry) (*server, error) {
	return listen(ctx, serverConfig{
		name:           operatorsListener,
		address:        address,
		handler:        limited(o.handler(), log),
		maxConnections: maxOperatorConnections,
		certifier:      c,
		meter:          o.meter,
		log:            log,
	})
}

func (o *operators) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", o.live)
	mux.HandleFunc("GET /ready", o.ready)
	mux.HandleFunc("GET /status", o.status)
	mux.HandleFunc("GET /metrics", o.metrics)
	if o.decisions != nil {
		mux.Handle("GET /explain/{id}", o.decisions)
	}
	return mux
}

func (o *operators) live(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (o *operators) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case o.gate.stopping.Load():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case o.bundles.Current() == nil:
		http.Error(w, "no bundle is in force", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

func (o *operators) status(w http.ResponseWriter, _ *http.Request) {
	status := Status{
		Deployment: o.settings.Deployment,
		Node:       o.settings.Node,
		Region:     o.settings.Region,
		Stopping:   o.gate.stopping.Load(),
	}
	if current := o.bundles.Current(); current != nil {
		status.BundleVersion = current.Bundle.Version
		status.InForceSince = current.Since
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status)
}

// metrics brings the gauges of the process up to date and writes everything.
func (o *operators) metrics(w http.ResponseWriter, r *http.Request) {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	o.meter.Set(meter.HeapBytes, "", int64(memory.HeapAlloc))
	o.meter.Set(meter.Goroutines, "", int64(runtime.NumGoroutine()))
	var stopping, version, since int64
	if o.gate.stopping.Load() {
		stopping = 1
	}
	if current := o.bundles.Current(); current != nil {
		version = int64(current.Bundle.Version)
		since = current.Since.Unix()
	}
	o.meter.Set(meter.Stopping, "", stopping)
	o.meter.Set(meter.BundleVersion, "", version)
	o.meter.Set(meter.BundleSinceSeconds, "", since)
	o.meter.ServeHTTP(w, r)
}
