// Package reporter writes the results of loads as a table and as plots.
package reporter

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"gentianstep.example/gentianstep/internal/standin/loader"
)

// maxLine bounds one result.
const maxLine = 1 << 20

// Read reads results, one JSON object a line.
func Read(r io.Reader) ([]loader.Result, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	var results []loader.Result
	for lines.Scan() {
		var result loader.Result
		if err := json.Unmarshal(lines.Bytes(), &result); err != nil {
			return nil, fmt.Errorf("read result %d: %w", len(results)+1, err)
		}
		results = append(results, result)
	}
	return results, lines.Err()
}

const head = `| workload | case | policy | load | requests | whole | refused | broken | wrong | hit rate | of bound | computed | recomputed | first token p50 | p95 | p99 | batch p95 | crossed MB | whole/s |
|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|
`

// Table writes the results as a Markdown table.
func Table(w io.Writer, results []loader.Result) error {
	if _, err := io.WriteString(w, head); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	for _, r := range results {
		if _, err := io.WriteString(w, row(r)); err != nil {
			return fmt.Errorf("write table: %w", err)
		}
	}
	return nil
}

func row(r loader.Result) string {
	return fmt.Sprintf("| %s | %s | `%s` | %.2f | %d | %d | %d | %d | %d | %.3f | %.3f | %d | %d | %s | %s | %s | %s | %.1f | %.1f |\n",
		r.Workload, r.Case, r.Policy, r.Load, r.Requests, r.Whole, r.Refused, r.Broken, r.Wrong,
		r.HitRate, r.HitRate/r.BoundRate, r.Computed, r.Recomputed,
		millis(r.FirstToken.P50), millis(r.FirstToken.P95), millis(r.FirstToken.P99), millis(r.BatchFirst.P95),
		r.CrossingMB, r.WholePerSec)
}

func millis(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return fmt.Sprintf("%d ms", d.Milliseconds())
}

// Shares writes for each result with a flood what part of its requests each
// organisation was served.
func Shares(w io.Writer, results []loader.Result) error {
	for _, r := range results {
		if r.Case != "flood" {
			continue
		}
		_, err := fmt.Fprintf(w, "\n%s, `%s`, flood: served of asked by organisation:", r.Workload, r.Policy)
		if err != nil {
			return fmt.Errorf("write shares: %w", err)
		}
		for i, asked := range r.Asked {
			_, err := fmt.Fprintf(w, " %.2f", float64(r.ByOrganisation[i])/float64(max(asked, 1)))
			if err != nil {
				return fmt.Errorf("write shares: %w", err)
			}
		}
		_, _ = fmt.Fprintln(w)
	}
	return nil
}
