package starter

import (
	"net/http"
	"net/netip"
	"os"

	"gentianstep.example/gentianstep/internal/caching/listener"
	"gentianstep.example/gentianstep/internal/gateway/forwarder"
	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/placement/upgrader"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/streaming/bounder"
	"gentianstep.example/gentianstep/internal/upstream/noticer"
	"gentianstep.example/gentianstep/internal/upstream/verifier"
)

// Platform holds the platform-specific dependencies of a gateway.
type Platform struct {
	Codec          informer.Codec
	Dialect        forwarder.Dialect
	OperatorPrefix string
	UpstreamPrefix string
	ReadyPath      string
	// Reload delivers the signals that request a reload.
	Reload <-chan os.Signal
	// LoadSettings reads the settings file again, for a reload.
	LoadSettings func() (*configurer.VMSettings, error)
	// NewStore returns a client of the platform's store.
	NewStore func(address netip.AddrPort, client *http.Client, bodies *bounder.Bounder) Store
	// NewEngineClient returns a client for the control calls to engines. orders opens a
	// connection for each call.
	NewEngineClient func(client, orders *http.Client, n *noticer.Noticer, bodies *bounder.Bounder) EngineClient
	// NewHealthClient returns a client for health checks. Their path is that of the
	// upstream's service.
	NewHealthClient func(client *http.Client, n *noticer.Noticer, path func(service string) string) verifier.Checker
}

// EngineClient makes the control calls to engines: weight changes and cache events.
type EngineClient interface {
	upgrader.EngineClient
	listener.Source
}

// Store is a client of a platform's key-value store that can also watch for
// changes.
type Store interface {
	storer.Store
	storer.Feed
}
