// Package certifier gives listeners and connections their certificates and
// reads them again when their files change.
package certifier

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// checkInterval bounds how often the files are looked at.
const checkInterval = time.Second

// connectTimeout bounds the opening of a connection.
const connectTimeout = 2 * time.Second

// Config holds what a Certifier is built from.
type Config struct {
	// CertificateFile and KeyFile are shown to the other end; a client may do
	// without them.
	CertificateFile string
	KeyFile         string
	// CAFile holds the authority that the other end's certificate must be of.
	// A server without it asks for no certificate.
	CAFile string
	Log    *logrus.Entry
}

// Certifier holds the certificates that its files had when last read whole.
type Certifier struct {
	cfg Config

	mu     sync.Mutex
	loaded material
	// nextCheck is when the files are looked at again.
	nextCheck time.Time
	stamps    []time.Time
}

// material is what the files contain.
type material struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// New returns a Certifier; its files must be readable.
func New(cfg Config) (*Certifier, error) {
	c := &Certifier{cfg: cfg}
	loaded, err := c.load()
	if err != nil {
		return nil, err
	}
	c.loaded = loaded
	c.stamps, err = c.readStamps()
	return c, err
}

func (c *Certifier) load() (material, error) {
	var m material
	if c.cfg.CertificateFile != "" {
		certificate, err := tls.LoadX509KeyPair(c.cfg.CertificateFile, c.cfg.KeyFile)
		if err != nil {
			return material{}, classifier.Wrap(classifier.SettingsInvalid, err, "certificate %s", c.cfg.CertificateFile)
		}
		m.certificate = &certificate
	}
	if c.cfg.CAFile != "" {
		data, err := os.ReadFile(c.cfg.CAFile)
		if err != nil {
			return material{}, classifier.Wrap(classifier.SettingsInvalid, err, "authority")
		}
		m.authorities = x509.NewCertPool()
		if !m.authorities.AppendCertsFromPEM(data) {
			return material{}, classifier.New(classifier.SettingsInvalid, "authority %s: got no certificate, takes PEM", c.cfg.CAFile)
		}
	}
	return m, nil
}

// readStamps returns the times at which the files changed last.
func (c *Certifier) readStamps() ([]time.Time, error) {
	var stamps []time.Time
	for _, path := range []string{c.cfg.CertificateFile, c.cfg.KeyFile, c.cfg.CAFile} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return nil, fmt.Errorf("certificate file: %w", err)
		}
		stamps = append(stamps, info.ModTime())
	}
	return stamps, nil
}

// current returns the certificates to use at now. Files that cannot be read
// leave the last good ones in use.
func (c *Certifier) current(now time.Time) material {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.nextCheck) {
		return c.loaded
	}
	c.nextCheck = now.Add(checkInterval)
	stamps, err := c.readStamps()
	if err == nil && equal(stamps, c.stamps) {
		return c.loaded
	}
	loaded := c.loaded
	if err == nil {
		loaded, err = c.load()
	}
	if err != nil {
		c.cfg.Log.WithError(err).Warn("certificates not read again")
		return c.loaded
	}
	c.loaded = loaded
	c.stamps = stamps
	c.cfg.Log.WithField("certificate", c.cfg.CertificateFile).Info("certificates read again")
	return loaded
}

func equal(a, b []time.Time) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !a[i].Equal(b[i]) {
			return false
		}
	}
	return true
}

// Server returns the configuration of a listener.
func (c *Certifier) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return c.server(time.Now()), nil
		},
	}
}

func (c *Certifier) server(now time.Time) *tls.Config {
	m := c.current(now)
	config := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"}}
	if m.certificate != nil {
		config.Certificates = []tls.Certificate{*m.certificate}
	}
	if m.authorities != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = m.authorities
	}
	return config
}

// DialContext opens an encrypted connection for a transport that itself sends
// in the plain, so that no address has to say that it is encrypted.
func (c *Certifier) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	m := c.current(time.Now())
	config := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: m.authorities, ServerName: host}
	if m.certificate != nil {
		config.Certificates = []tls.Certificate{*m.certificate}
	}
	dialer := &tls.Dialer{NetDialer: &net.Dialer{Timeout: connectTimeout}, Config: config}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial with TLS: %w", err)
	}
	return conn, nil
}
