package main

import (
	"context"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/testing/launcher"
)

// demoTimeout is the longest run of the demo.
const demoTimeout = 60 * time.Second

func TestDemoServesFromEndToEnd(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), demoTimeout)
	defer cancel()
	demo := exec.CommandContext(ctx, "../../scripts/demo.sh")
	demo.Env = append(demo.Environ(), "BIN="+programs, "HOST="+launcher.Host().String())
	output, err := demo.CombinedOutput()
	if err != nil {
		t.Fatalf("demo: %v\n%s", err, output)
	}
	is.True(strings.Contains(string(output), "demo passed"))
}
