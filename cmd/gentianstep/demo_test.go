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

// demoTimeout limits the run time of the demo script.
const demoTimeout = 60 * time.Second

func TestDemoScriptPasses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), demoTimeout)
	defer cancel()
	demo := exec.CommandContext(ctx, "../../scripts/demo.sh")
	demo.Env = append(demo.Environ(), "BIN="+binDir, "HOST="+launcher.Host().String())
	output, err := demo.CombinedOutput()
	if err != nil {
		t.Fatalf("run demo script: %v\n%s", err, output)
	}
	is.True(strings.Contains(string(output), "demo passed"))
}
