package soaker

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// judge checks the record and writes it and the verdict.
func (s *soak) judge() (Verdict, error) {
	calls, spans, violations := s.journal.copies()
	record := Record{Calls: calls, Spans: spans, EndAt: s.endAt}
	s.Site.Fill(&record)
	v := Verdict{Seed: s.Seed, Steps: len(spans), Calls: len(calls), Violations: append(violations, Check(record, s.Site.Bounds())...)}
	sortViolations(v.Violations)
	for _, c := range calls {
		if c.Outcome == Answered {
			v.Answered++
		}
	}
	for _, g := range s.fleet.gateways {
		v.Starts += g.processNumber()
	}
	if err := s.writeFile("record.json", record); err != nil {
		return v, err
	}
	return v, s.writeFile("verdict.json", v)
}

func (s *soak) writeFile(name string, value any) error {
	data, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return fmt.Errorf("encode %s: %w", name, err)
	}
	if err := os.WriteFile(filepath.Join(s.Dir, name), data, 0o600); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	return nil
}

// checkProcesses checks the peak memory of the gateways against their settings.
func (s *soak) checkProcesses() {
	limit := s.Site.Bounds().MemoryMiB
	for _, g := range s.fleet.gateways {
		g.mu.Lock()
		g.checkStop()
		g.mu.Unlock()
		if peak := g.peakMemoryMiB(); peak > limit {
			s.journal.Violate(Violation{Promise: MemoryLimit, Subject: g.Name, Detail: fmt.Sprintf("peak of %d MiB, limit %d", peak, limit)})
		}
	}
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
