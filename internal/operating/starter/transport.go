package starter

import (
	"net/http"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/operating/certifier"
	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/upstream/caller"
	"gentianstep.example/gentianstep/internal/upstream/noticer"
	"gentianstep.example/gentianstep/internal/upstream/screener"
)

// maxIdlePerHost limits the idle connections kept open to each host.
const maxIdlePerHost = 64

// newTransport returns an HTTP transport for http:// URLs whose connections use
// TLS configured by c, or plain TCP if c is nil. It fails on broken responses.
func newTransport(c *certifier.Certifier) *screener.Transport {
	return screener.NewTransport(newBaseTransport(c))
}

func newBaseTransport(c *certifier.Certifier) *http.Transport {
	t := &http.Transport{
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: caller.MaxHeaderBytes,
		DisableCompression:     true,
	}
	if c != nil {
		t.DialContext = c.DialContext
	}
	return t
}

// newOrderClient returns a client for orders to upstreams, with a new connection for each:
// responses do not name their order, and one on a kept connection may be that to an earlier
// call.
func newOrderClient(c *certifier.Certifier, processes *noticer.Processes) *http.Client {
	t := newBaseTransport(c)
	t.DisableKeepAlives = true
	return &http.Client{Transport: &noticer.Transport{Processes: processes, Base: screener.NewTransport(t)}}
}

// newCaller returns a caller of upstreams that heeds notices. Its connections use
// TLS configured by c, or plain TCP if c is nil.
func newCaller(c *certifier.Certifier, notices caller.Notices, m *meter.Meter) *caller.Caller {
	cfg := caller.Config{Notices: notices, OnBroken: countBroken(m)}
	if c != nil {
		cfg.Dial = c.DialContext
	}
	return caller.New(cfg)
}

// countBroken returns a function that counts broken responses.
func countBroken(m *meter.Meter) func(reason caller.BrokenReason) {
	return func(reason caller.BrokenReason) { m.Count(meter.BrokenResponses, string(reason), 1) }
}

// certifiers holds the TLS configuration of each section of the settings. A nil
// field disables TLS.
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
	sections := []struct {
		target **certifier.Certifier
		cfg    certifier.Config
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
	for _, section := range sections {
		if section.cfg == (certifier.Config{}) {
			continue
		}
		section.cfg.Log = log
		created, err := certifier.New(section.cfg)
		if err != nil {
			return certifiers{}, err
		}
		*section.target = created
	}
	return c, nil
}
