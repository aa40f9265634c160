package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	// stalledClients is the number of connections that send an incomplete
	// request and stall. It exceeds the file descriptor limit of the VM.
	stalledClients = 5000
	// stalledBodies is how many of them stall one byte before the end of a body
	// of the maximum size.
	stalledBodies = 500
	bodyLimit     = 65536
	// validRequests is the number of complete requests that must be served while
	// the other connections stall.
	validRequests = 20
	// memoryLimitMB is the memory limit in the settings of the VMs under test.
	memoryLimitMB = 134
	// descriptorLimit is the limit of open file descriptors in these settings.
	descriptorLimit = 4100
)

func TestGatewayServesDespiteStalledClients(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := newPlatform(t)
	vm := p.start("vm1")
	eventually(t, "VM is ready", func() bool { return p.status(vm.ready) == http.StatusOK })
	head := "POST /order/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: hangs\r\nCredential: k2\r\n"
	unfinished := []string{"", "GET /lo", head}
	body := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, bodyLimit, strings.Repeat("x", bodyLimit-1))
	for n := range stalledClients {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", vm.client)
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		text := unfinished[n%len(unfinished)]
		if n%(stalledClients/stalledBodies) == 0 {
			text = body
		}
		_, _ = io.WriteString(conn, text) // fails if the VM has already evicted the connection
	}
	for n := range validRequests {
		p.client.CloseIdleConnections()
		status, _ := p.sendRequest(vm, "order", fmt.Sprint("good", n), "k1")
		is.Equal(status, http.StatusOK)
	}
	peak := peakMemoryMB(t, vm.process.PID())
	t.Logf("peak resident memory: %.1f MB", peak)
	is.True(peak < memoryLimitMB)
	eventually(t, "evicted connections are counted", func() bool {
		return strings.Contains(p.fetchText(vm.metrics), `gentianstep_connections_gave_way_total{listener="callers"}`)
	})
}

// peakMemoryMB returns the peak resident memory of a process.
func peakMemoryMB(t *testing.T, pid int) float64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if kib, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(kib), " kB"))
			if err != nil {
				t.Fatal(err)
			}
			return float64(n) / 1024
		}
	}
	t.Fatal("no VmHWM line in the status of the process")
	return 0
}
