package reporter

import (
	"fmt"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"gentianstep.example/gentianstep/internal/standin/loader"
	"gentianstep.example/gentianstep/internal/standin/rehearser"
)

const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = 18
	// groupMargin is the margin beside the outer groups of bars, in multiples of the
	// distance between groups.
	groupMargin = 0.5
)

// quantity defines a bar chart of one value of the results. The chart has a group
// of bars for each workload and a bar for each policy in the group.
type quantity[T any] struct {
	title    string
	unit     string
	workload func(T) string
	policy   func(T) string
	value    func(T) float64
}

func loadQuantity(title, unit string, value func(loader.Result) float64) quantity[loader.Result] {
	return quantity[loader.Result]{
		title:    title,
		unit:     unit,
		workload: func(r loader.Result) string { return r.Workload },
		policy:   func(r loader.Result) string { return r.Policy },
		value:    value,
	}
}

// HitRates plots the prefix hit rate of each policy as a share of its upper bound.
func HitRates(path string, results []loader.Result) error {
	return plotBars(path, results, loadQuantity("Prefix hit rate as a share of the bound", "share",
		func(r loader.Result) float64 { return r.HitRate / r.BoundRate }))
}

// FirstTokens plots the 95th percentile of the time to first token.
func FirstTokens(path string, results []loader.Result) error {
	return plotBars(path, results, loadQuantity("First token, 95th percentile", "ms",
		func(r loader.Result) float64 { return float64(r.FirstToken.P95) / float64(time.Millisecond) }))
}

// ReachedShares plots the benefit that each policy earned as a share of its upper
// bound.
func ReachedShares(path string, results []rehearser.Result) error {
	return plotBars(path, summarise(results), quantity[summary]{
		title:    "Benefit as a share of the bound",
		unit:     "share",
		workload: func(s summary) string { return s.load },
		policy:   func(s summary) string { return s.policy },
		value:    func(s summary) float64 { return s.benefit / s.bound },
	})
}

// Recovery plots the share of the maximum benefit that each policy earned in each
// second of one load. It uses the first result of each policy.
func Recovery(path, load string, results []rehearser.Result) error {
	p := plot.New()
	p.Title.Text = "Benefit of each second, load " + load
	p.X.Label.Text = "s"
	p.Y.Label.Text = "share of what is owed"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = false
	drawn := make(map[string]bool)
	for _, r := range results {
		if r.Load != load || drawn[r.Policy] {
			continue
		}
		points := make(plotter.XYs, len(r.Seconds))
		for n, second := range r.Seconds {
			points[n] = plotter.XY{X: float64(n), Y: second.Share()}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("plot %s: %w", path, err)
		}
		line.Color = plotutil.Color(len(drawn))
		drawn[r.Policy] = true
		p.Add(line)
		p.Legend.Add(r.Policy, line)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	return nil
}

// plotBars writes a bar chart of one quantity.
func plotBars[T any](path string, results []T, q quantity[T]) error {
	p := plot.New()
	p.Title.Text = q.title
	p.Y.Label.Text = q.unit
	p.Y.Min = 0
	p.Legend.Top = true
	workloads := distinctNames(results, q.workload)
	policies := distinctNames(results, q.policy)
	for i, policy := range policies {
		values := make(plotter.Values, len(workloads))
		for j, workload := range workloads {
			values[j] = q.valueOf(results, workload, policy)
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

func distinctNames[T any](results []T, name func(T) string) []string {
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

func (q quantity[T]) valueOf(results []T, workload, policy string) float64 {
	for _, r := range results {
		if q.workload(r) == workload && q.policy(r) == policy {
			return q.value(r)
		}
	}
	return 0
}
