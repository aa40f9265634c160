package main

import (
	"context"
	"net"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// demoTimeout is the longest run of the demo.
const demoTimeout = 60 * time.Second

func TestDemoServesFromEndToEnd(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), demoTimeout)
	defer cancel()
	demo := exec.CommandContext(ctx, "../../scripts/demo.sh")
	demo.Env = append(demo.Environ(), "BIN="+programs, "BASE_PORT="+strconv.Itoa(freePortRange(t)))
	output, err := demo.CombinedOutput()
	if err != nil {
		t.Fatalf("demo: %v\n%s", err, output)
	}
	is.True(strings.Contains(string(output), "demo passed"))
}

// freePortRange returns the start of a range of ports near a free one.
func freePortRange(t *testing.T) int {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	address, _ := listener.Addr().(*net.TCPAddr)
	return min(address.Port, 60000)
}
