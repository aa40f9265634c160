package reporter

import (
	"fmt"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"gentianstep.example/gentianstep/internal/standin/loader"
)

const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = 18
	// groupMargin is the room beside the outer groups of bars, in groups.
	groupMargin = 0.5
)

// quantity is what one plot shows of a result.
type quantity struct {
	title string
	unit  string
	value func(loader.Result) float64
}

// HitRates plots the prefix hit rate of each policy as a share of the bound.
func HitRates(path string, results []loader.Result) error {
	return bars(path, results, quantity{
		title: "Prefix hit rate as a share of the bound",
		unit:  "share",
		value: func(r loader.Result) float64 { return r.HitRate / r.BoundRate },
	})
}

// FirstTokens plots the 95th percentile of the first-token time.
func FirstTokens(path string, results []loader.Result) error {
	return bars(path, results, quantity{
		title: "First token, 95th percentile",
		unit:  "ms",
		value: func(r loader.Result) float64 { return float64(r.FirstToken.P95) / float64(time.Millisecond) },
	})
}

// bars plots one quantity, a group of bars for each workload.
func bars(path string, results []loader.Result, q quantity) error {
	p := plot.New()
	p.Title.Text = q.title
	p.Y.Label.Text = q.unit
	p.Y.Min = 0
	p.Legend.Top = true
	workloads := distinct(results, func(r loader.Result) string { return r.Workload })
	policies := distinct(results, func(r loader.Result) string { return r.Policy })
	for i, policy := range policies {
		values := make(plotter.Values, len(workloads))
		for j, workload := range workloads {
			values[j] = find(results, workload, policy, q.value)
		}
		chart, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return fmt.Errorf("plot %s: %w", path, err)
		}
		chart.Color = plotutil.Color(i)
		chart.Offset = vg.Points(barWidth * (float64(i) - float64(len(policies)-1)/2))
		p.Add(chart)
		p.Legend.Add(policy, chart)
	}
	p.NominalX(workloads...)
	p.X.Min = -groupMargin
	p.X.Max = float64(len(workloads)-1) + groupMargin
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	return nil
}

func distinct(results []loader.Result, name func(loader.Result) string) []string {
	var names []string
	seen := make(map[string]bool)
	for _, r := range results {
		n := name(r)
		if !seen[n] {
			seen[n] = true
			names = append(names, n)
		}
	}
	return names
}

func find(results []loader.Result, workload, policy string, value func(loader.Result) float64) float64 {
	for _, r := range results {
		if r.Workload == workload && r.Policy == policy {
			return value(r)
		}
	}
	return 0
}
