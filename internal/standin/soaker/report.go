package soaker

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
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
