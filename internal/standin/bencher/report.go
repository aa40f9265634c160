package bencher

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Report holds the results of all counted rounds.
type Report struct {
	Direct, Router []Round
	// Idle and Load hold the resource usage of the processes when idle and under
	// load.
	Idle, Load []ResourceUsage
}

// Write writes the report as tables. Each latency is the median over the rounds.
func (r Report) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "TIME\tQUANTILE\tDIRECT\tROUTER\tADDED\tRATIO")
	for _, line := range []struct {
		name, quantile string
		value          func(Round) time.Duration
	}{
		{"first token", "p50", func(r Round) time.Duration { return r.First.P50 }},
		{"first token", "p99", func(r Round) time.Duration { return r.First.P99 }},
		{"whole stream", "p50", func(r Round) time.Duration { return r.Whole.P50 }},
		{"whole stream", "p99", func(r Round) time.Duration { return r.Whole.P99 }},
	} {
		direct, router := median(r.Direct, line.value), median(r.Router, line.value)
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%.3f\n", line.name, line.quantile,
			direct, router, router-direct, router.Seconds()/direct.Seconds())
	}
	_, _ = fmt.Fprintln(table, "\nROUNDS\tREQUESTS\tFAILED DIRECT\tFAILED ROUTER")
	requests, failedDirect := total(r.Direct)
	_, failedRouter := total(r.Router)
	_, _ = fmt.Fprintf(table, "%d\t%d each\t%d\t%d\n", len(r.Direct), requests, failedDirect, failedRouter)
	_, _ = fmt.Fprintln(table, "\nPROCESS\tCORES IDLE\tCORES UNDER LOAD\tMIB IDLE\tMIB UNDER LOAD")
	for i, idle := range r.Idle {
		_, _ = fmt.Fprintf(table, "%s\t%.4f\t%.3f\t%d\t%d\n",
			idle.Name, idle.Cores, r.Load[i].Cores, idle.Resident>>20, r.Load[i].Resident>>20)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

func median(rounds []Round, value func(Round) time.Duration) time.Duration {
	if len(rounds) == 0 {
		return 0
	}
	values := make([]time.Duration, 0, len(rounds))
	for _, r := range rounds {
		values = append(values, value(r))
	}
	slices.Sort(values)
	return values[len(values)/2]
}

func total(rounds []Round) (requests, failed int) {
	for _, r := range rounds {
		requests += r.Requests
		failed += r.Failed
	}
	return requests, failed
}
