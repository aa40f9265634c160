package selector

import "time"

// option is a live candidate during one selection.
type option struct {
	// at is the index of the candidate.
	at int32
	// held is the number of leading blocks that it holds.
	held int32
	// local is true in the region of the router.
	local bool
	// priced is false where the total is not known, since it cannot be chosen.
	priced bool
	total  time.Duration
}

// field is the live candidates of one selection and what they have in common.
type field struct {
	options []option
	// locals is the number of local options.
	locals int
	// bestHeld is the largest number of leading blocks that a local one holds.
	bestHeld int
	// localLoad is the sum of the loads of the local ones.
	localLoad float64
	// priced is the number of options with a total.
	priced int
}

// fill takes up the candidates that may be chosen. Suspect ones are left out
// unless their share is above maxEjected, since then health counts as unknown.
func (f *field) fill(r *Request, candidates []Candidate, maxEjected float64) {
	f.take(r, candidates, false)
	suspects := len(candidates) - len(f.options)
	if len(f.options) == 0 || float64(suspects) > maxEjected*float64(len(candidates)) {
		f.take(r, candidates, true)
	}
}

func (f *field) take(r *Request, candidates []Candidate, suspects bool) {
	*f = field{options: f.options[:0]}
	for i := range candidates {
		c := &candidates[i]
		if c.Suspect && !suspects {
			continue
		}
		local := c.Region == r.Region
		f.options = append(f.options, option{at: int32(i), held: int32(c.HeldBlocks), local: local})
		if !local {
			continue
		}
		f.locals++
		f.bestHeld = max(f.bestHeld, c.HeldBlocks)
		f.localLoad += c.load()
	}
}

// price sets the totals and returns the place of the lowest. Another region has
// to be cheaper than the own one by a margin; where no upstream of another region
// can be, none is priced.
func (f *field) price(p *pricer, candidates []Candidate) int {
	local := f.priceAll(p, candidates, true)
	if local < 0 {
		return f.priceAll(p, candidates, false)
	}
	bound := f.options[local].total - p.margin()
	if bound <= p.crossingLatency+p.crossingPrice {
		return local
	}
	remote := f.priceAll(p, candidates, false)
	if remote >= 0 && f.options[remote].total < bound {
		return remote
	}
	return local
}

// priceAll prices the options of the own region or those of the others, and
// returns the place of the lowest, or -1.
func (f *field) priceAll(p *pricer, candidates []Candidate, local bool) int {
	lowest := -1
	for at := range f.options {
		o := &f.options[at]
		if o.local != local {
			continue
		}
		o.total = p.total(&candidates[o.at], local)
		o.priced = true
		f.priced++
		if lowest < 0 || o.total < f.options[lowest].total {
			lowest = at
		}
	}
	return lowest
}

// near tells whether o is in the region that is chosen from where the own one
// comes first: the own one, or any where the own one has no candidate.
func (f *field) near(o *option) bool { return o.local || f.locals == 0 }
