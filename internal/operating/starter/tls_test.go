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
	busy(t)
	is := is.New(t)
	dir := t.TempDir()
	loopback := launcher.Host()
	processes, front := issuer.New(t, dir, "processes"), issuer.New(t, dir, "front")
	stranger := issuer.New(t, dir, "stranger")
	process, caller := processes.Issue("process", loopback), front.Issue("caller", loopback)
	wrong := stranger.Issue("wrong", loopback)
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
				s.TLS.Processes.CertificateFile = wrong.Certificate
				s.TLS.Processes.KeyFile = wrong.Key
				s.TLS.Processes.CAFile = stranger.File
			}
		},
	})
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: front.Pool(), MinVersion: tls.VersionTLS12}}}
	base := "https://" + d.VMs[0].Settings.Router.CallerAddress.String()
	is.NoErr(complete(t.Context(), client, base, 3))
	is.True(complete(t.Context(), newClient(), d.URL(0, ""), 3) != nil) // no caller is served unencrypted
	status := exec.CommandContext(t.Context(), d.Programs.Gentianstep, "status", "--settings", d.VMs[0].SettingsPath)
	table, err := status.CombinedOutput()
	is.True(err != nil)
	is.True(contains(table, "vm-0", "router"))
	is.True(contains(table, "vm-1", "router"))
	is.True(contains(table, "no answer", "certificate")) // the VM of another authority is not trusted
	status = exec.CommandContext(t.Context(), d.Programs.Gentianstep, "status", "--settings", d.VMs[2].SettingsPath)
	table, _ = status.CombinedOutput()
	is.True(!contains(table, "vm-0")) // nor does it learn anything of the others
	refused := func() bool { return contains([]byte(d.VMs[0].Controller.Output()), `"kind":"peer_refused"`) }
	launcher.Until(t, firstTimeout, "the refusal is logged", refused)
	for _, output := range []string{d.VMs[0].Controller.Output(), d.VMs[0].Router.Output()} {
		whole := output[:strings.LastIndex(output, "\n")+1]
		for line := range strings.Lines(whole) {
			is.True(json.Valid([]byte(line))) // every line of the log is JSON
		}
	}
}

func TestEncryptedOperators(t *testing.T) {
	t.Parallel()
	busy(t)
	is := is.New(t)
	dir := t.TempDir()
	authority := issuer.New(t, dir, "operators")
	files := authority.Issue("operators", launcher.Host())
	d := launcher.Deploy(t, launcher.Shape{VMs: 1, Engines: 1, Services: 1})
	vm := d.VMs[0]
	vm.Settings.TLS.Operators = configurer.ProcessFiles{
		CertificateFile: files.Certificate,
		KeyFile:         files.Key,
		CAFile:          authority.File,
	}
	data, err := json.Marshal(vm.Settings)
	is.NoErr(err)
	is.NoErr(os.WriteFile(vm.SettingsPath, data, 0o600))
	vm.Router.Kill()
	d.StartRouter(0)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: authority.Pool(), MinVersion: tls.VersionTLS12}}}
	ready := "https://" + vm.Settings.Router.OperatorAddress.String() + "/ready"
	launcher.Until(t, firstTimeout, "router ready", func() bool {
		response, err := client.Get(ready) //nolint:noctx // The test's deadline bounds it.
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	explain := exec.CommandContext(t.Context(), d.Programs.Gentianstep, "explain", "absent", "--settings", vm.SettingsPath)
	text, err := explain.CombinedOutput()
	is.True(err != nil)
	is.True(contains(text, "no decision for request absent")) // the router was reached over TLS
}
