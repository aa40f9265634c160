package gauger

import (
	"cmp"
	"slices"
)

// Sums adds up the samples of a VM by engine until they are reported. The zero value is
// empty.
type Sums struct{ samples map[string]Sample }

// Add adds the sample of one prompt. It ignores prompts that are too short, and engines
// beyond the bound of their number.
func (s *Sums) Add(sample Sample) {
	if sample.Expected < MinExpected || sample.Observed <= 0 {
		return
	}
	sum, known := s.samples[sample.Upstream]
	if !known && len(s.samples) >= maxUpstreams {
		return
	}
	if s.samples == nil {
		s.samples = make(map[string]Sample)
	}
	sample = sample.bounded()
	if !known || sum.StartedMillis != sample.StartedMillis {
		s.samples[sample.Upstream] = sample
		return
	}
	if sum.Count < MaxCount {
		sum.Observed += sample.Observed
		sum.Expected += sample.Expected
		sum.Count++
		s.samples[sample.Upstream] = sum
	}
}

// Drain returns the sums since the last call, ordered by upstream.
func (s *Sums) Drain() []Sample {
	list := make([]Sample, 0, len(s.samples))
	for _, sample := range s.samples {
		list = append(list, sample)
	}
	clear(s.samples)
	slices.SortFunc(list, func(a, b Sample) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}
