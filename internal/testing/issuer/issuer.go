// Package issuer creates certificate authorities and certificates for tests.
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

// validity is the time from now to the expiry of a certificate. NotBefore lies
// as far in the past.
const validity = time.Hour

// serialBits is the length of random serial numbers.
const serialBits = 120

// fileMode makes key files readable by their owner only.
const fileMode = 0o600

// Authority is a certificate authority with a self-signed certificate.
type Authority struct {
	// File is the path of the authority's certificate in PEM format.
	File string

	t           testing.TB
	dir         string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Files holds the paths of a certificate and its private key, both in PEM format.
type Files struct {
	Certificate string
	Key         string
}

// New creates an authority and writes its certificate to dir. Issue writes its
// files to dir too.
func New(t testing.TB, dir, name string) *Authority {
	t.Helper()
	a := &Authority{t: t, dir: dir, File: filepath.Join(dir, name+"-ca.crt"), key: newKey(t)}
	a.certificate = newTemplate(t, name)
	a.certificate.IsCA = true
	a.certificate.BasicConstraintsValid = true
	a.certificate.KeyUsage = x509.KeyUsageCertSign
	a.writePEM(a.File, "CERTIFICATE", a.sign(a.certificate, a.key))
	return a
}

// Issue writes a certificate for addresses and its key. The certificate is valid
// for server and client authentication.
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
	a.writePEM(files.Certificate, "CERTIFICATE", a.sign(template, key))
	a.writePEM(files.Key, "EC PRIVATE KEY", encoded)
	return files
}

// Pool returns a certificate pool that contains only this authority.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	data, err := os.ReadFile(a.File)
	if err != nil || !pool.AppendCertsFromPEM(data) {
		a.t.Fatalf("load certificate of the authority: %v", err)
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

func (a *Authority) writePEM(path, blockType string, data []byte) {
	a.t.Helper()
	encoded := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: data})
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
