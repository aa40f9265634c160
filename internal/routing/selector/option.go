package selector

import "time"

// option is an eligible candidate during one selection.
type option struct {
	// index is the index of the candidate in the list of candidates.
	index int32
	// held is the number of leading blocks that the candidate holds.
	held int32
	// local is true if the candidate is in the region of the router.
	local bool
	// priced is true if total is set. Options in other regions that cannot be
	// cheaper than a local one are not priced.
	priced bool
	total  time.Duration
}

// optionSet holds the eligible candidates of one selection and aggregates over
// those in the router's region. Its memory is reused by the next selection.
type optionSet struct {
	options []option
	// localCount is the number of local options.
	localCount int
	// maxLocalHeld is the largest number of leading blocks that a local option holds.
	maxLocalHeld int
	// localLoad is the sum of the loads of the local options.
	localLoad float64
	// pricedCount is the number of options whose total is set.
	pricedCount int
}

// reset replaces the options with the eligible candidates. Suspect candidates are
// excluded unless their share is above maxEjected or no other candidate is left,
// since health information is then considered unreliable.
func (s *optionSet) reset(r *Request, candidates []Candidate, maxEjected float64) {
	s.collect(r, candidates, false)
	suspects := len(candidates) - len(s.options)
	if len(s.options) == 0 || float64(suspects) > maxEjected*float64(len(candidates)) {
		s.collect(r, candidates, true)
	}
}

// collect sets the options and aggregates, with or without suspect candidates.
func (s *optionSet) collect(r *Request, candidates []Candidate, includeSuspects bool) {
	*s = optionSet{options: s.options[:0]}
	for i := range candidates {
		c := &candidates[i]
		if c.Suspect && !includeSuspects {
			continue
		}
		local := c.Region == r.Region
		s.options = append(s.options, option{index: int32(i), held: int32(c.HeldBlocks), local: local})
		if !local {
			continue
		}
		s.localCount++
		s.maxLocalHeld = max(s.maxLocalHeld, c.HeldBlocks)
		s.localLoad += c.load()
	}
}

// priceOptions computes the totals and returns the index of the cheapest option.
// An option in another region has to be cheaper than the cheapest local one by the
// region margin. The other regions are not priced if the latency and the price of
// crossing alone exclude that.
func (s *optionSet) priceOptions(p *pricer, candidates []Candidate) int {
	local := s.priceRegion(p, candidates, true)
	if local < 0 {
		return s.priceRegion(p, candidates, false)
	}
	bound := s.options[local].total - p.regionMargin()
	if bound <= p.crossingLatency+p.crossingPrice {
		return local
	}
	remote := s.priceRegion(p, candidates, false)
	if remote >= 0 && s.options[remote].total < bound {
		return remote
	}
	return local
}

// priceRegion computes the totals of the local or of the remote options and returns
// the index of the cheapest of them, or -1 if there is none.
func (s *optionSet) priceRegion(p *pricer, candidates []Candidate, local bool) int {
	lowest := -1
	for i := range s.options {
		o := &s.options[i]
		if o.local != local {
			continue
		}
		o.total = p.total(&candidates[o.index], local)
		o.priced = true
		s.pricedCount++
		if lowest < 0 || o.total < s.options[lowest].total {
			lowest = i
		}
	}
	return lowest
}

// preferred reports whether o is in the preferred region: the router's own, or any
// region if there is no local option.
func (s *optionSet) preferred(o *option) bool { return o.local || s.localCount == 0 }
