package starter

import (
	"net/http"

	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/operating/inspector"
	"gentianstep.example/gentianstep/internal/peering/messenger"
)

// NewInspector returns an inspector of the controllers that settings name.
func NewInspector(settings *configurer.Settings) (*inspector.Inspector, error) {
	return inspector.New(inspector.Config{
		Hello:     hello(settings, messenger.Operator),
		Addresses: controllers(settings),
		Client:    &http.Client{Transport: newTransport()},
		Scheme:    "http",
	}), nil
}
