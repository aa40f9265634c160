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

// NewInspector returns an inspector of the controllers that settings name.
func NewInspector(settings *configurer.Settings) (*inspector.Inspector, error) {
	certificates, err := newCertifiers(settings, silentLog())
	if err != nil {
		return nil, err
	}
	return inspector.New(inspector.Config{
		Hello:     hello(settings, messenger.Operator),
		Addresses: controllers(settings),
		Client:    &http.Client{Transport: newTransport(certificates.processes)},
	}), nil
}

// NewOperatorClient returns a client for operator addresses.
func NewOperatorClient(settings *configurer.Settings) (*http.Client, error) {
	if settings.TLS.Operators.CAFile == "" {
		return &http.Client{Transport: newTransport(nil)}, nil
	}
	c, err := certifier.New(certifier.Config{CAFile: settings.TLS.Operators.CAFile, Log: silentLog()})
	if err != nil {
		return nil, err
	}
	return &http.Client{Transport: newTransport(c)}, nil
}

// NewStore returns the platform's store that settings name.
func NewStore(settings *configurer.Settings) (*dialer.Dialer, error) {
	certificates, err := newCertifiers(settings, silentLog())
	if err != nil {
		return nil, err
	}
	return newPlatform(settings, certificates), nil
}

func newPlatform(settings *configurer.Settings, certificates certifiers) *dialer.Dialer {
	client := &http.Client{Transport: newTransport(certificates.platform)}
	return dialer.New(dialer.Config{Address: settings.Platform.Address, Client: client})
}

// silentLog returns a log that writes nothing, for commands that end at once.
func silentLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}
