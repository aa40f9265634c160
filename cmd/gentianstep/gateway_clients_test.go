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
	// hangingClients is the number of connections that send a part of a request
	// and stop, more than the VM may open.
	hangingClients = 5000
	// stoppedBodies of them stop within a body of the largest size.
	stoppedBodies = 500
	bodyLimit     = 65536
	// goodRequests have to be served meanwhile.
	goodRequests = 20
	// testMemory is the limit in the settings of the VMs under test, in MB.
	testMemory = 134
)

func TestGatewayServesBesideClientsThatHang(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := newPlatform(t)
	vm := p.start("vm1")
	eventually(t, "ready", func() bool { return p.status(vm.ready) == http.StatusOK })
	head := "POST /order/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: hangs\r\nCredential: k2\r\n"
	unfinished := []string{"", "GET /lo", head}
	body := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, bodyLimit, strings.Repeat("x", bodyLimit-1))
	for n := range hangingClients {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", vm.client)
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		text := unfinished[n%len(unfinished)]
		if n%(hangingClients/stoppedBodies) == 0 {
			text = body
		}
		_, _ = io.WriteString(conn, text) // it may have given way already
	}
	for n := range goodRequests {
		p.client.CloseIdleConnections()
		status, _ := p.ask(vm, "order", fmt.Sprint("good", n), "k1")
		is.Equal(status, http.StatusOK)
	}
	peak := peakMemory(t, vm.process.PID())
	t.Logf("peak of %.1f MB", peak)
	is.True(peak < testMemory)
	eventually(t, "connections that gave way are counted", func() bool {
		return strings.Contains(p.text(vm.metrics), `gentianstep_connections_gave_way_total{listener="callers"}`)
	})
}

// peakMemory returns the largest resident size of a process, in MB.
func peakMemory(t *testing.T, pid int) float64 {
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
	t.Fatal("no peak is told")
	return 0
}
