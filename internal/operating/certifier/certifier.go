// Package certifier provides the TLS configuration of listeners and outgoing
// connections and reloads certificates when their files change.
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

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

// connectTimeout limits the time to connect, including the TLS handshake.
const connectTimeout = 2 * time.Second

// Config holds the file names and the logger of a Certifier.
type Config struct {
	// CertificateFile and KeyFile hold the certificate presented to the peer and
	// its private key, both in PEM. They are optional for a client.
	CertificateFile string
	KeyFile         string
	// CAFile holds the CA certificates that the peer's certificate is verified
	// against. A server without it requests no client certificate.
	CAFile string
	Log    *logrus.Entry
}

// Certifier holds the certificates from the last complete load of its files.
type Certifier struct {
	cfg Config

	mu     sync.Mutex
	loaded credentials
	// nextCheck is the earliest time of the next check for changed files.
	nextCheck time.Time
	// modTimes are the modification times of the files at the last load.
	modTimes []time.Time
}

// credentials are the parsed contents of the files.
type credentials struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// New loads the files and returns a Certifier, or an error if a file is
// missing or invalid.
func New(cfg Config) (*Certifier, error) {
	c := &Certifier{cfg: cfg}
	loaded, err := c.load()
	if err != nil {
		return nil, err
	}
	c.loaded = loaded
	c.modTimes, err = c.readModTimes()
	return c, err
}

func (c *Certifier) load() (credentials, error) {
	var loaded credentials
	if c.cfg.CertificateFile != "" {
		certificate, err := tls.LoadX509KeyPair(c.cfg.CertificateFile, c.cfg.KeyFile)
		if err != nil {
			return credentials{}, classifier.Wrap(classifier.SettingsInvalid, err, "load certificate %s", c.cfg.CertificateFile)
		}
		loaded.certificate = &certificate
	}
	if c.cfg.CAFile != "" {
		data, err := os.ReadFile(c.cfg.CAFile)
		if err != nil {
			return credentials{}, classifier.Wrap(classifier.SettingsInvalid, err, "authority")
		}
		loaded.authorities = x509.NewCertPool()
		if !loaded.authorities.AppendCertsFromPEM(data) {
			return credentials{}, classifier.New(classifier.SettingsInvalid, "CA file %s contains no certificate in PEM", c.cfg.CAFile)
		}
	}
	return loaded, nil
}

// readModTimes returns the modification times of the configured files.
func (c *Certifier) readModTimes() ([]time.Time, error) {
	var modTimes []time.Time
	for _, path := range []string{c.cfg.CertificateFile, c.cfg.KeyFile, c.cfg.CAFile} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return nil, fmt.Errorf("read modification time of certificate file: %w", err)
		}
		modTimes = append(modTimes, info.ModTime())
	}
	return modTimes, nil
}

// current returns the certificates to use and reloads changed files at most
// once per checkInterval. If reloading fails, the previous certificates stay
// in use.
func (c *Certifier) current(now time.Time) credentials {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.nextCheck) {
		return c.loaded
	}
	c.nextCheck = now.Add(checkInterval)
	modTimes, err := c.readModTimes()
	if err == nil && equalTimes(modTimes, c.modTimes) {
		return c.loaded
	}
	loaded := c.loaded
	if err == nil {
		loaded, err = c.load()
	}
	if err != nil {
		c.cfg.Log.WithError(err).Warn("failed to reload certificates, keeping the previous ones")
		return c.loaded
	}
	c.loaded = loaded
	c.modTimes = modTimes
	c.cfg.Log.WithField("certificate", c.cfg.CertificateFile).Info("reloaded certificates")
	return loaded
}

func equalTimes(a, b []time.Time) bool {
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

// ServerConfig returns the TLS configuration of a listener. Each handshake uses
// the certificates that are current at that time.
func (c *Certifier) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return c.serverConfig(time.Now()), nil
		},
	}
}

func (c *Certifier) serverConfig(now time.Time) *tls.Config {
	creds := c.current(now)
	config := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"}}
	if creds.certificate != nil {
		config.Certificates = []tls.Certificate{*creds.certificate}
	}
	if creds.authorities != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = creds.authorities
	}
	return config
}

// DialContext opens a TLS connection. It is the dialer of an HTTP transport for
// http:// URLs, so that addresses need no scheme that says whether TLS is used.
func (c *Certifier) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("split address to dial into host and port: %w", err)
	}
	creds := c.current(time.Now())
	config := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: creds.authorities, ServerName: host}
	if creds.certificate != nil {
		config.Certificates = []tls.Certificate{*creds.certificate}
	}
	dialer := &tls.Dialer{NetDialer: &net.Dialer{Timeout: connectTimeout}, Config: config}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial with TLS: %w", err)
	}
	return conn, nil
}
