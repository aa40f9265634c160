package starter

import (
	"net/http"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/operating/certifier"
	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// maxIdlePerHost bounds the connections kept open to one other process.
const maxIdlePerHost = 64

// newTransport returns a transport for plain addresses that encrypts with c,
// or not at all where c is nil.
func newTransport(c *certifier.Certifier) *http.Transport {
	t := &http.Transport{
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	if c != nil {
		t.DialContext = c.DialContext
	}
	return t
}

// newCaller returns a caller of upstreams that encrypts with c, or not at all
// where c is nil.
func newCaller(c *certifier.Certifier) *caller.Caller {
	var cfg caller.Config
	if c != nil {
		cfg.Dial = c.DialContext
	}
	return caller.New(cfg)
}

// certifiers are the certificates of each part of the settings, nil for none.
type certifiers struct {
	callers   *certifier.Certifier
	operators *certifier.Certifier
	processes *certifier.Certifier
	platform  *certifier.Certifier
	upstreams *certifier.Certifier
}

func newCertifiers(settings *configurer.Settings, log *logrus.Entry) (certifiers, error) {
	var c certifiers
	files := settings.TLS
	parts := []struct {
		to  **certifier.Certifier
		cfg certifier.Config
	}{
		{&c.callers, certifier.Config{CertificateFile: files.Callers.CertificateFile, KeyFile: files.Callers.KeyFile}},
		{&c.operators, certifier.Config{CertificateFile: files.Operators.CertificateFile, KeyFile: files.Operators.KeyFile}},
		{&c.processes, certifier.Config{
			CertificateFile: files.Processes.CertificateFile,
			KeyFile:         files.Processes.KeyFile,
			CAFile:          files.Processes.CAFile,
		}},
		{&c.platform, certifier.Config{CAFile: files.Platform.CAFile}},
		{&c.upstreams, certifier.Config{CAFile: files.Upstreams.CAFile}},
	}
	for _, part := range parts {
		if part.cfg == (certifier.Config{}) {
			continue
		}
		part.cfg.Log = log
		made, err := certifier.New(part.cfg)
		if err != nil {
			return certifiers{}, err
		}
		*part.to = made
	}
	return c, nil
}
