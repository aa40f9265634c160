package starter

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/holder"
	"gentianstep.example/gentianstep/internal/operating/certifier"
	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/operating/explainer"
	"gentianstep.example/gentianstep/internal/operating/meter"
)

// maxOperatorConnections limits the open connections of operators.
const maxOperatorConnections = 256

// Status is the response body of GET /status.
type Status struct {
	Deployment    string    `json:"deployment"`
	Node          string    `json:"node"`
	Region        string    `json:"region"`
	BundleVersion uint64    `json:"bundle_version"`
	InForceSince  time.Time `json:"in_force_since"`
	Stopping      bool      `json:"stopping"`
}

// operators serves the health checks, status, metrics and routing decisions of a
// process to operators.
type operators struct {
	settings *configurer.Settings
	bundles  *holder.Holder
	drain    *drainState
	meter    *meter.Meter
	// decisions is nil in processes that do not route requests.
	decisions *explainer.Explainer
}

// listen opens the operators' listener of a process.
func (o *operators) listen(ctx context.Context, address netip.AddrPort, c *certifier.Certifier, log *logrus.Entry) (*server, error) {
	return listen(ctx, serverConfig{
		name:           operatorsListener,
		address:        address,
		handler:        withLimits(o.handler(), log),
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
	case o.drain.stopping.Load():
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
		Stopping:   o.drain.stopping.Load(),
	}
	if current := o.bundles.Current(); current != nil {
		status.BundleVersion = current.Bundle.Version
		status.InForceSince = current.Since
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status)
}

// metrics updates the gauges of bundle and drain and writes all metrics.
func (o *operators) metrics(w http.ResponseWriter, r *http.Request) {
	var stopping, version, since int64
	if o.drain.stopping.Load() {
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
