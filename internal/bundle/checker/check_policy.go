package checker

import "slices"

// SelectionNames lists the valid names of selection policies.
var SelectionNames = []string{"round_robin", "least_loaded", "prefix_hash", "prefix_cost"}

func (p Policy) check() error {
	if !slices.Contains(SelectionNames, p.Selection.Name) {
		return invalid("policy.selection.name", "got %q, want one of %v", p.Selection.Name, SelectionNames)
	}
	durations := []struct {
		path  string
		value Duration
	}{
		{"policy.selection.lookup_timeout", p.Selection.LookupTimeout},
		{"policy.admission.max_wait", p.Admission.MaxWait},
		{"policy.admission.batch_max_wait", p.Admission.BatchMaxWait},
		{"policy.attempts.cooldown", p.Attempts.Cooldown},
		{"policy.streams.first_byte_timeout", p.Streams.FirstByteTimeout},
		{"policy.streams.idle_timeout", p.Streams.IdleTimeout},
		{"policy.streams.total_timeout", p.Streams.TotalTimeout},
		{"policy.streams.caller_write_timeout", p.Streams.CallerWriteTimeout},
		{"policy.placement.lease_ttl", p.Placement.LeaseTTL},
		{"policy.placement.order_timeout", p.Placement.OrderTimeout},
		{"policy.placement.min_dwell", p.Placement.MinDwell},
	}
	for _, d := range durations {
		if d.value <= 0 {
			return invalid(d.path, "got %s, want more than 0s", d.value.Std())
		}
	}
	counts := []struct {
		path  string
		value int
	}{
		{"policy.admission.queue_length", p.Admission.QueueLength},
		{"policy.attempts.max_attempts", p.Attempts.MaxAttempts},
		{"policy.placement.max_loads", p.Placement.MaxLoads},
	}
	for _, c := range counts {
		if c.value < 1 {
			return invalid(c.path, "got %d, want 1 or more", c.value)
		}
	}
	return p.checkRanges()
}

func (p Policy) checkRanges() error {
	ratios := []struct {
		path  string
		value float64
	}{
		{"policy.admission.batch_share", p.Admission.BatchShare},
		{"policy.attempts.retry_budget", p.Attempts.RetryBudget},
		{"policy.attempts.max_ejected", p.Attempts.MaxEjected},
	}
	for _, r := range ratios {
		if !(r.value >= 0 && r.value <= 1) {
			return invalid(r.path, "got %g, want 0 to 1", r.value)
		}
	}
	if !(p.Selection.RecomputePrice >= 0) {
		return invalid("policy.selection.recompute_price", "got %g, want 0 or more", p.Selection.RecomputePrice)
	}
	if p.Selection.CrossingPrice < 0 || p.Selection.CrossingLatency < 0 {
		return invalid("policy.selection", "crossing_price and crossing_latency must not be negative")
	}
	if p.Admission.DemandWindow < 0 {
		return invalid("policy.admission.demand_window", "got %s, want 0s or more", p.Admission.DemandWindow.Std())
	}
	if p.Placement.LoadInterval < 0 {
		return invalid("policy.placement.load_interval", "got %s, want 0s or more", p.Placement.LoadInterval.Std())
	}
	if p.Streams.MaxResumes < 0 {
		return invalid("policy.streams.max_resumes", "got %d, want 0 or more", p.Streams.MaxResumes)
	}
	return nil
}
