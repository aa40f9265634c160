package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/testing/launcher"
)

const (
	// routerCrowdClients send bodies of routerCrowdBytes: 400 MiB together.
	routerCrowdClients = 100
	routerCrowdBytes   = 4 << 20
	// routerMemoryMB is the memory limit in the settings of the router.
	routerMemoryMB = 256
)

// TestRouterStaysWithinLimitsDespiteCrowds guards against a router that exceeds the memory of
// its settings because of large or unfinished bodies.
func TestRouterStaysWithinLimitsDespiteCrowds(t *testing.T) { //nolint:paralleltest // its memory is measured
	head := "POST /v1/completions HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer " + launcher.CallerKey + "\r\n"
	prompt := fmt.Sprintf(`{"model": "tile-match", "prompt": %q, "max_tokens": 1}`, strings.Repeat("x", routerCrowdBytes))
	announced := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(prompt), prompt)
	chunk := fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", head, len(prompt), prompt)
	rows := []crowd{
		{name: "bodies stop one byte short", text: announced[:len(announced)-1]},
		{name: "large chunk stops short", text: chunk[:len(chunk)-1]},
		{name: "responses to complete bodies are not read", text: announced},
		{name: "heads stop short", text: head},
	}
	for _, c := range rows { //nolint:paralleltest // one at a time
		t.Run(c.name, func(t *testing.T) { c.checkRouter(t) })
	}
}

func (c crowd) checkRouter(t *testing.T) {
	is := is.New(t)
	d := launcher.Deploy(t, launcher.Shape{VMs: 1, Engines: 1, Settings: func(_ int, s *configurer.Settings) {
		s.Router.MemoryMB = routerMemoryMB
	}})
	router := d.VMs[0].Router
	for range routerCrowdClients {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", d.VMs[0].Settings.Router.CallerAddress.String())
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		go c.send(conn)
	}
	checkUntil := time.Now().Add(crowdTime)
	eventually(t, "the crowd was connected for its time", func() bool {
		return router.HasEnded() || time.Now().After(checkUntil)
	})
	eventually(t, "ordinary request is answered", func() bool {
		return complete(t, d.URL(0, "/v1/completions")) == http.StatusOK
	})
	peak := peakMemoryMB(t, router.PID())
	t.Logf("peak resident memory: %.1f MB", peak)
	is.True(!router.HasEnded())
	is.True(peak < routerMemoryMB)
}

// complete sends a completion request and returns the status of the response, 0 if there is none.
func complete(t *testing.T, url string) int {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(`{"model": "tile-match", "prompt": "sheet", "max_tokens": 1}`))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+launcher.CallerKey)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}
