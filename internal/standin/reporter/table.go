// Package reporter writes the results of loads and simulations as Markdown tables
// and plots.
package reporter

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"gentianstep.example/gentianstep/internal/standin/loader"
)

// maxLineBytes is the maximum length of one result in bytes.
const maxLineBytes = 1 << 20

// Read reads results in JSON Lines format.
func Read(r io.Reader) ([]loader.Result, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
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

const tableHeader = `| workload | case | policy | load | requests | whole | refused | broken | wrong | hit rate | of bound | computed | recomputed | first token p50 | p95 | p99 | batch p95 | crossed MB | whole/s |
|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|
`

// Table writes the results as a Markdown table.
func Table(w io.Writer, results []loader.Result) error {
	if _, err := io.WriteString(w, tableHeader); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	for _, r := range results {
		if _, err := io.WriteString(w, tableRow(r)); err != nil {
			return fmt.Errorf("write table: %w", err)
		}
	}
	return nil
}

func tableRow(r loader.Result) string {
	return fmt.Sprintf("| %s | %s | `%s` | %.2f | %d | %d | %d | %d | %d | %.3f | %.3f | %d | %d | %s | %s | %s | %s | %.1f | %.1f |\n",
		r.Workload, r.Case, r.Policy, r.Load, r.Requests, r.Complete, r.Refused, r.Failed, r.Wrong,
		r.HitRate, r.HitRate/r.BoundRate, r.Computed, r.Recomputed,
		formatMillis(r.FirstToken.P50), formatMillis(r.FirstToken.P95), formatMillis(r.FirstToken.P99), formatMillis(r.BatchFirstToken.P95),
		r.CrossRegionMB, r.CompletePerSecond)
}

func formatMillis(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return fmt.Sprintf("%d ms", d.Milliseconds())
}

// Shares writes the share of complete responses for each organisation, for every
// result of a flood. Requests of the flood itself are not counted.
func Shares(w io.Writer, results []loader.Result) error {
	for _, r := range results {
		if r.Case != "flood" {
			continue
		}
		_, err := fmt.Fprintf(w, "\n%s, `%s`, flood: served of asked by organisation:", r.Workload, r.Policy)
		if err != nil {
			return fmt.Errorf("write shares: %w", err)
		}
		for i, asked := range r.RequestsByOrganisation {
			_, err := fmt.Fprintf(w, " %.2f", float64(r.CompleteByOrganisation[i])/float64(max(asked, 1)))
			if err != nil {
				return fmt.Errorf("write shares: %w", err)
			}
		}
		_, _ = fmt.Fprintln(w)
	}
	return nil
}
