package starter

import (
	"net/http"
	"net/netip"

	"gentianstep.example/gentianstep/internal/caching/listener"
	"gentianstep.example/gentianstep/internal/gateway/forwarder"
	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/placement/upgrader"
	"gentianstep.example/gentianstep/internal/platform/storer"
)

// Platform is what a gateway needs of a platform.
type Platform struct {
	Codec          informer.Codec
	Dialect        forwarder.Dialect
	OperatorPrefix string
	UpstreamPrefix string
	ReadyPath      string
	// LoadSettings reads the settings again.
	LoadSettings func() (*configurer.VMSettings, error)
	// NewStore returns a client of the platform's store.
	NewStore func(address netip.AddrPort, client *http.Client) Store
	// NewEngines returns a client of engines.
	NewEngines func(client *http.Client) Engines
}

// Engines calls engines beside the requests of clients.
type Engines interface {
	upgrader.EngineClient
	listener.Source
}

// Store is a platform's key-value service with its feed.
type Store interface {
	storer.Store
	storer.Feed
}
