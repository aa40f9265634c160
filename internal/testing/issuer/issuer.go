// Package issuer makes certificates for tests.
package issuer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// validity is how long certificates last.
const validity = time.Hour

// serialBits is the size of serial numbers.
const serialBits = 120

// fileMode keeps keys to their owner.
const fileMode = 0o600

// Authority signs certificates.
type Authority struct {
	// File holds its own certificate in PEM.
	File string

	t           testing.TB
	dir         string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Files are a certificate in PEM and its key.
type Files struct {
	Certificate string
	Key         string
}

// New returns a new authority with its files in dir.
func New(t testing.TB, dir, name string) *Authority {
	t.Helper()
	a := &Authority{t: t, dir: dir, File: filepath.Join(dir, name+"-ca.crt"), key: newKey(t)}
	a.certificate = newTemplate(t, name)
	a.certificate.IsCA = true
	a.certificate.BasicConstraintsValid = true
	a.certificate.KeyUsage = x509.KeyUsageCertSign
	a.write(a.File, "CERTIFICATE", a.sign(a.certificate, a.key))
	return a
}

// Issue writes a certificate for the IP numbers, valid at both ends.
func (a *Authority) Issue(name string, addresses ...netip.Addr) Files {
	a.t.Helper()
	template := newTemplate(a.t, name)
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, address := range addresses {
		template.IPAddresses = append(template.IPAddresses, net.IP(address.AsSlice()))
	}
	key := newKey(a.t)
	encoded, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	files := Files{
		Certificate: filepath.Join(a.dir, name+".crt"),
		Key:         filepath.Join(a.dir, name+".key"),
	}
	a.write(files.Certificate, "CERTIFICATE", a.sign(template, key))
	a.write(files.Key, "EC PRIVATE KEY", encoded)
	return files
}

// Pool returns a pool with this authority alone.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	data, err := os.ReadFile(a.File)
	if err != nil || !pool.AppendCertsFromPEM(data) {
		a.t.Fatalf("authority file: %v", err)
	}
	return pool
}

func (a *Authority) sign(template *x509.Certificate, key *ecdsa.PrivateKey) []byte {
	a.t.Helper()
	signed, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	return signed
}

func (a *Authority) write(path, kind string, data []byte) {
	a.t.Helper()
	encoded := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
	if err := os.WriteFile(path, encoded, fileMode); err != nil {
		a.t.Fatal(err)
	}
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func newTemplate(t testing.TB, name string) *x509.Certificate {
	t.Helper()
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		t.Fatal(err)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-validity),
		NotAfter:     time.Now().Add(validity),
	}
}
