package configurer

// TLSSettings name the files for encrypted connections. A part without files
// leaves its connections unencrypted. Files are read again when they change.
type TLSSettings struct {
	// Callers is what the router shows to callers.
	Callers ServerFiles `json:"callers"`
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

// ProcessFiles name a certificate in PEM, its key and the authority that both
// ends must have theirs from.
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
	p := t.Processes
	none := p.CertificateFile == "" && p.KeyFile == "" && p.CAFile == ""
	all := p.CertificateFile != "" && p.KeyFile != "" && p.CAFile != ""
	if !none && !all {
		return invalid("tls.processes", "takes certificate_file, key_file and ca_file together")
	}
	return nil
}
