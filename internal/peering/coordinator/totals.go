package coordinator

// loadTotals holds the sums of the loads of all VMs, and which of them changed.
type loadTotals struct {
	sums    map[string]Load
	changed map[string]struct{}
}

func newLoadTotals() *loadTotals {
	return &loadTotals{sums: make(map[string]Load), changed: make(map[string]struct{})}
}

// replace replaces the loads of one VM in the sums.
func (t *loadTotals) replace(before, after map[string]Load) {
	for upstream, load := range before {
		if after[upstream] != load {
			t.set(upstream, t.sums[upstream].minus(load).plus(after[upstream]))
		}
	}
	for upstream, load := range after {
		if _, known := before[upstream]; !known {
			t.set(upstream, t.sums[upstream].plus(load))
		}
	}
}

func (t *loadTotals) set(upstream string, sum Load) {
	t.changed[upstream] = struct{}{}
	if sum == (Load{}) {
		delete(t.sums, upstream)
		return
	}
	t.sums[upstream] = sum
}
