package starter_test

import (
	"crypto/tls"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/testing/issuer"
	"gentianstep.example/gentianstep/internal/testing/launcher"
)

func TestEncryptedDeployment(t *testing.T) {
	t.Parallel()
	acquireLoadLock(t)
	is := is.New(t)
	dir := t.TempDir()
	loopback := launcher.Host()
	processes, front := issuer.New(t, dir, "processes"), issuer.New(t, dir, "front")
	untrusted := issuer.New(t, dir, "untrusted")
	process, caller := processes.Issue("process", loopback), front.Issue("caller", loopback)
	untrustedCert := untrusted.Issue("untrusted-process", loopback)
	d := launcher.Deploy(t, launcher.Shape{
		VMs:      3,
		Engines:  1,
		Services: 1,
		Settings: func(i int, s *configurer.Settings) {
			s.TLS.Callers = configurer.ServerFiles{CertificateFile: caller.Certificate, KeyFile: caller.Key}
			s.TLS.Processes = configurer.ProcessFiles{
				CertificateFile: process.Certificate,
				KeyFile:         process.Key,
				CAFile:          processes.File,
			}
			if i == 2 {
				s.TLS.Processes.CertificateFile = untrustedCert.Certificate
				s.TLS.Processes.KeyFile = untrustedCert.Key
				s.TLS.Processes.CAFile = untrusted.File
			}
		},
	})
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: front.Pool(), MinVersion: tls.VersionTLS12}}}
	base := "https://" + d.VMs[0].Settings.Router.CallerAddress.String()
	is.NoErr(sendCompletion(t.Context(), client, base, 3))
	is.True(sendCompletion(t.Context(), newClient(), d.URL(0, ""), 3) != nil) // callers without TLS are rejected
	status := exec.CommandContext(t.Context(), d.Programs.Gentianstep, "status", "--settings", d.VMs[0].SettingsPath)
	table, err := status.CombinedOutput()
	is.True(err != nil)
	is.True(containsAll(table, "vm-0", "router"))
	is.True(containsAll(table, "vm-1", "router"))
	is.True(containsAll(table, "no answer", "certificate")) // VM 2, whose certificate is from another CA, is rejected
	status = exec.CommandContext(t.Context(), d.Programs.Gentianstep, "status", "--settings", d.VMs[2].SettingsPath)
	table, _ = status.CombinedOutput()
	is.True(!containsAll(table, "vm-0")) // VM 2 receives no status of the other VMs
	refused := func() bool { return containsAll([]byte(d.VMs[0].Controller.Output()), `"kind":"peer_refused"`) }
	launcher.Until(t, firstResponseTimeout, "refused peer is logged", refused)
	for _, output := range []string{d.VMs[0].Controller.Output(), d.VMs[0].Router.Output()} {
		completeLines := output[:strings.LastIndex(output, "\n")+1]
		for line := range strings.Lines(completeLines) {
			is.True(json.Valid([]byte(line))) // every log line is valid JSON
		}
	}
}

func TestEncryptedOperators(t *testing.T) {
	t.Parallel()
	acquireLoadLock(t)
	is := is.New(t)
	dir := t.TempDir()
	ca := issuer.New(t, dir, "operators")
	files := ca.Issue("operators", launcher.Host())
	d := launcher.Deploy(t, launcher.Shape{VMs: 1, Engines: 1, Services: 1})
	vm := d.VMs[0]
	vm.Settings.TLS.Operators = configurer.ProcessFiles{
		CertificateFile: files.Certificate,
		KeyFile:         files.Key,
		CAFile:          ca.File,
	}
	data, err := json.Marshal(vm.Settings)
	is.NoErr(err)
	is.NoErr(os.WriteFile(vm.SettingsPath, data, 0o600))
	vm.Router.Kill()
	d.StartRouter(0)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: ca.Pool(), MinVersion: tls.VersionTLS12}}}
	ready := "https://" + vm.Settings.Router.OperatorAddress.String() + "/ready"
	launcher.Until(t, firstResponseTimeout, "router ready", func() bool {
		response, err := client.Get(ready) //nolint:noctx // The test's timeout limits it.
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	explain := exec.CommandContext(t.Context(), d.Programs.Gentianstep, "explain", "absent", "--settings", vm.SettingsPath)
	text, err := explain.CombinedOutput()
	is.True(err != nil)
	is.True(containsAll(text, "no decision for request absent")) // the router responded over TLS
}
