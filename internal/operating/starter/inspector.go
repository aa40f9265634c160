package starter

import (
	"io"
	"net/http"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/operating/certifier"
	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/operating/inspector"
	"gentianstep.example/gentianstep/internal/peering/messenger"
	"gentianstep.example/gentianstep/internal/platform/dialer"
)

// NewInspector returns an inspector that connects to the controllers listed in
// the settings.
func NewInspector(settings *configurer.Settings) (*inspector.Inspector, error) {
	certificates, err := newCertifiers(settings, newDiscardLog())
	if err != nil {
		return nil, err
	}
	return inspector.New(inspector.Config{
		Hello:     newHello(settings, messenger.Operator),
		Addresses: controllerAddresses(settings),
		Client:    &http.Client{Transport: newTransport(certificates.processes)},
	}), nil
}

// NewOperatorClient returns an HTTP client for the operators' listeners. It uses
// TLS if the settings contain a CA file for them.
func NewOperatorClient(settings *configurer.Settings) (*http.Client, error) {
	if settings.TLS.Operators.CAFile == "" {
		return &http.Client{Transport: newTransport(nil)}, nil
	}
	c, err := certifier.New(certifier.Config{CAFile: settings.TLS.Operators.CAFile, Log: newDiscardLog()})
	if err != nil {
		return nil, err
	}
	return &http.Client{Transport: newTransport(c)}, nil
}

// NewStore returns a client of the platform's store at the address in the
// settings.
func NewStore(settings *configurer.Settings) (*dialer.Dialer, error) {
	certificates, err := newCertifiers(settings, newDiscardLog())
	if err != nil {
		return nil, err
	}
	return newPlatform(settings, certificates), nil
}

func newPlatform(settings *configurer.Settings, certificates certifiers) *dialer.Dialer {
	client := &http.Client{Transport: newTransport(certificates.platform)}
	return dialer.New(dialer.Config{Address: settings.Platform.Address, Client: client})
}

// newDiscardLog returns a logger that discards all entries, for short-lived
// commands.
func newDiscardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}
