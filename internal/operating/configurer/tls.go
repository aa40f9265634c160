package configurer

// TLSSettings name the files for encrypted connections. A part without files
// leaves its connections unencrypted. Files are read again when they change.
type TLSSettings struct {
	// Callers is what the router shows to callers.
	Callers ServerFiles `json:"callers"`
	// Operators is what both processes show to operators, and the authority by
	// which the operator's commands recognise it.
	Operators ProcessFiles `json:"operators"`
	// Processes is what routers, controllers and operators show each other.
	Processes ProcessFiles `json:"processes"`
	// Platform is how the platform's service is recognised.
	Platform AuthorityFile `json:"platform"`
	// Upstreams is how upstreams are recognised.
	Upstreams AuthorityFile `json:"upstreams"`
}

// ServerFiles name a certificate in PEM and its key.
type ServerFiles struct {
	CertificateFile string `json:"certificate_file"`
	KeyFile         string `json:"key_file"`
}

// ProcessFiles name a certificate in PEM, its key and the authority that the
// other end's certificate must be of.
type ProcessFiles struct {
	CertificateFile string `json:"certificate_file"`
	KeyFile         string `json:"key_file"`
	CAFile          string `json:"ca_file"`
}

// AuthorityFile names the certificates in PEM of an authority.
type AuthorityFile struct {
	CAFile string `json:"ca_file"`
}

func (t TLSSettings) check() error {
	c := t.Callers
	if (c.CertificateFile == "") != (c.KeyFile == "") {
		return invalid("tls.callers", "takes certificate_file and key_file together")
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
		return invalid(path, "takes certificate_file, key_file and ca_file together")
	}
	return nil
}
