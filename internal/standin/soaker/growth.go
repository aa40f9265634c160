package soaker

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/common/expfmt"
)

const (
	// idleTimeout is the time after the last call within which the connections of a
	// gateway end. It exceeds the idle timeout of connections to upstreams.
	idleTimeout = 8 * time.Second
	// descriptorSlack is the number of descriptors by which a gateway may exceed those
	// before the first call.
	descriptorSlack = 12
	// goroutineSlack is the same for goroutines: a connection has one that reads and one
	// that writes.
	goroutineSlack = 2 * descriptorSlack
	// goroutinesMetric is the name of the gauge of goroutines.
	goroutinesMetric = "gentianstep_goroutines"
)

// usage is what a process has open, or the highest of several processes.
type usage struct {
	descriptors int
	goroutines  int
}

// exceeds reports whether the usage has grown since an earlier one.
func (u usage) exceeds(idle usage) bool {
	return u.descriptors > idle.descriptors+descriptorSlack || u.goroutines > idle.goroutines+goroutineSlack
}

// checkProcesses checks that the gateways stop in time, that none has passed its memory
// limit, and that their connections end once there are no calls.
func (s *soak) checkProcesses(ctx context.Context) {
	limit := s.Site.Bounds().MemoryMiB
	for _, g := range s.fleet.gateways {
		g.mu.Lock()
		g.checkStop()
		g.mu.Unlock()
		if peak := g.peakMemoryMiB(); peak > limit {
			s.journal.Violate(Violation{Promise: MemoryLimit, Subject: g.Name, Detail: fmt.Sprintf("peak of %d MiB, limit %d", peak, limit)})
		}
	}
	isIdle := func() bool {
		return !slices.ContainsFunc(s.fleet.gateways, func(g *Gateway) bool { return g.usage(ctx).exceeds(s.idle) })
	}
	if !poll(ctx, idleTimeout, isIdle) && ctx.Err() == nil {
		for _, g := range s.fleet.gateways {
			u := g.usage(ctx)
			s.journal.Violate(Violation{Promise: Growth, Subject: g.Name, Detail: fmt.Sprintf("%d open descriptors and %d goroutines %s after the last call, at most %d and %d before the first",
				u.descriptors, u.goroutines, idleTimeout, s.idle.descriptors, s.idle.goroutines)})
		}
	}
}

// countIdle notes what gateways have open before the first call.
func (s *soak) countIdle(ctx context.Context) {
	for _, g := range s.fleet.gateways {
		u := g.usage(ctx)
		s.idle = usage{max(s.idle.descriptors, u.descriptors), max(s.idle.goroutines, u.goroutines)}
	}
}

// usage returns what the process has open.
func (g *Gateway) usage(ctx context.Context) usage {
	return usage{descriptors: g.descriptors(), goroutines: g.goroutines(ctx)}
}

// goroutines returns the number of goroutines that the process reports, 0 if it does not
// respond.
func (g *Gateway) goroutines(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.Metrics.String()+"/metrics", nil)
	if err != nil {
		return 0
	}
	request.Close = true // the connection must not count
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	var parser expfmt.TextParser
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil || families[goroutinesMetric] == nil {
		return 0
	}
	return int(families[goroutinesMetric].GetMetric()[0].GetGauge().GetValue())
}

// descriptors returns the number of open files and connections of the process, 0 if
// none runs.
func (g *Gateway) descriptors() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process == nil {
		return 0
	}
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.process.Pid))
	if err != nil {
		return 0
	}
	return len(list)
}

// peakMemoryMiB returns the peak resident memory of the process, 0 if none runs.
func (g *Gateway) peakMemoryMiB() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process == nil {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(text), " kB")) // the kernel writes a number
			return kib >> 10
		}
	}
	return 0
}
