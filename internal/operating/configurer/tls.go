package configurer

// TLSSettings hold the names of the certificate files. A section without files
// leaves TLS disabled for its connections. Files are reloaded when they change.
type TLSSettings struct {
	// Callers is the certificate that the router presents to callers.
	Callers ServerFiles `json:"callers"`
	// Operators is the certificate that the router and the controller present to
	// operators, and the CA that the operator's commands verify it against.
	Operators ProcessFiles `json:"operators"`
	// Processes is the certificate for mutual TLS between routers, controllers and
	// operators.
	Processes ProcessFiles `json:"processes"`
	// Platform is the CA that issued the certificate of the platform's service.
	Platform AuthorityFile `json:"platform"`
	// Upstreams is the CA that issued the certificates of upstreams.
	Upstreams AuthorityFile `json:"upstreams"`
}

// ServerFiles hold the names of a certificate file in PEM and its key file.
type ServerFiles struct {
	CertificateFile string `json:"certificate_file"`
	KeyFile         string `json:"key_file"`
}

// ProcessFiles hold the names of a certificate file in PEM, its key file and the
// file of the CA that the peer's certificate is verified against.
type ProcessFiles struct {
	CertificateFile string `json:"certificate_file"`
	KeyFile         string `json:"key_file"`
	CAFile          string `json:"ca_file"`
}

// AuthorityFile holds the name of a file with CA certificates in PEM.
type AuthorityFile struct {
	CAFile string `json:"ca_file"`
}

func (t TLSSettings) check() error {
	c := t.Callers
	if (c.CertificateFile == "") != (c.KeyFile == "") {
		return invalid("tls.callers", "certificate_file and key_file must be set together")
	}
	if err := t.Operators.check("tls.operators"); err != nil {
		return err
	}
	return t.Processes.check("tls.processes")
}

func (p ProcessFiles) check(path string) error {
	none := p.CertificateFile == "" && p.KeyFile == "" && p.CAFile == ""
	all := p.CertificateFile != "" && p.KeyFile != "" && p.CAFile != ""
	if !none && !all {
		return invalid(path, "certificate_file, key_file and ca_file must be set together")
	}
	return nil
}
