package soaker

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// idleTimeout is the time after the last call within which the connections of a
	// gateway end. It exceeds the idle timeout of connections to upstreams.
	idleTimeout = 8 * time.Second
	// descriptorSlack is the number of descriptors by which a gateway may exceed those
	// before the first call.
	descriptorSlack = 12
)

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
		return !slices.ContainsFunc(s.fleet.gateways, func(g *Gateway) bool { return g.descriptors() > s.idleDescriptors+descriptorSlack })
	}
	if !poll(ctx, idleTimeout, isIdle) && ctx.Err() == nil {
		for _, g := range s.fleet.gateways {
			s.journal.Violate(Violation{Promise: Growth, Subject: g.Name, Detail: fmt.Sprintf("%d open descriptors %s after the last call, at most %d before the first", g.descriptors(), idleTimeout, s.idleDescriptors)})
		}
	}
}

// countIdle notes how many descriptors a gateway has open before the first call.
func (s *soak) countIdle() {
	for _, g := range s.fleet.gateways {
		s.idleDescriptors = max(s.idleDescriptors, g.descriptors())
	}
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
