package starter

import (
	"encoding/json"
	"net/http"
	"time"

	"gentianstep.example/gentianstep/internal/bundle/holder"
	"gentianstep.example/gentianstep/internal/operating/configurer"
)

// Status is what a process says of itself to operators.
type Status struct {
	Deployment    string    `json:"deployment"`
	Node          string    `json:"node"`
	Region        string    `json:"region"`
	BundleVersion uint64    `json:"bundle_version"`
	InForceSince  time.Time `json:"in_force_since"`
}

// statusHandler serves health and status.
func statusHandler(settings *configurer.Settings, bundles *holder.Holder) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if bundles.Current() == nil {
			http.Error(w, "no bundle is in force", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		status := Status{Deployment: settings.Deployment, Node: settings.Node, Region: settings.Region}
		if current := bundles.Current(); current != nil {
			status.BundleVersion = current.Bundle.Version
			status.InForceSince = current.Since
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(status)
	})
	return mux
}
