package main

import (
	"net/http"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/testing/launcher"
)

// TestReloadSignalDuringStart guards against a gateway that SIGHUP ends while it starts.
// Its settings file is a pipe, so that it waits in its start until the test writes.
func TestReloadSignalDuringStart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := newPlatform(t)
	vm := p.prepare("vm1")
	settings, err := os.ReadFile(vm.settings)
	is.NoErr(err)
	is.NoErr(os.Rename(vm.settings, vm.settings+".file"))
	is.NoErr(syscall.Mkfifo(vm.settings, 0o600))
	vm.process = launcher.Start(t, "vm1", launcher.Build(t).Gentianstep, "gateway", "--settings", vm.settings)
	pipe, err := os.OpenFile(vm.settings, os.O_WRONLY, 0) // returns when the gateway reads
	is.NoErr(err)
	is.NoErr(os.Rename(vm.settings+".file", vm.settings)) // what a reload reads
	is.NoErr(syscall.Kill(vm.process.PID(), syscall.SIGHUP))
	_, err = pipe.Write(settings)
	_ = pipe.Close()
	if err != nil {
		t.Logf("gateway does not read its settings: %v", err)
	}
	eventually(t, "VM is ready", func() bool { return vm.process.HasEnded() || p.status(vm.ready) == http.StatusOK })
	is.True(!vm.process.HasEnded()) // not ended by the signal
	eventually(t, "VM logs the reload", func() bool { return vm.logged("reloaded") })
}
