package selector

const (
	// boundedLoad is the load of a home, as a multiple of the mean, above
	// which its prefixes go to the next upstream in rendezvous order.
	boundedLoad = 1.25
	// freeLoad is the load that is always low enough for a home.
	freeLoad = 0.9
)

// wantsHome tells whether fewer local candidates hold the shared part of the
// prompt than should.
func (p *PrefixCost) wantsHome(r *Request) bool {
	depth := r.homeDepth()
	if depth == 0 {
		return false
	}
	holders := 0
	for i := range p.field.options {
		o := &p.field.options[i]
		if p.field.near(o) && int(o.held) >= depth {
			holders++
		}
	}
	return holders < max(r.Replicas, 1)
}

// home returns the place of the upstream that a prompt is sent to while too few
// hold its shared part, and the reason; -1 where every home is overloaded. All
// routers agree on it, so that the prefix is computed in few places even without
// an index.
func (p *PrefixCost) home(price *pricer, candidates []Candidate, lowest int) (int, string) {
	f := &p.field
	r := price.request
	p.ladder.climb(r)
	mean := f.localLoad / float64(max(f.locals, 1))
	limit := max(boundedLoad*mean, freeLoad)
	best := f.options[lowest]
	gain := float64(p.gain(r)) * (1 + price.recomputePrice)
	worst := best.total + scale(prefillPerBlock(&candidates[best.at]), gain)
	accept := func(o *option) bool {
		return candidates[o.at].load() <= limit && o.total <= worst
	}
	p.homes = p.ladder.rank(p.homes[:0], f, candidates, max(r.Replicas, 1), anyOption)
	home := -1
	for _, at := range p.homes {
		o := &f.options[at]
		if accept(o) && (home < 0 || o.total < f.options[home].total) {
			home = int(at)
		}
	}
	if home >= 0 {
		return home, ReasonPrefixHome
	}
	p.homes = p.ladder.rank(p.homes[:0], f, candidates, 1, accept)
	if len(p.homes) == 0 {
		return -1, ""
	}
	return int(p.homes[0]), ReasonHomeOverflow
}

// gain returns the number of blocks that later requests find at a home: those
// that no local candidate holds, or all of them where one more replica is wanted.
func (p *PrefixCost) gain(r *Request) int {
	depth := r.homeDepth()
	if p.field.bestHeld >= depth {
		return depth
	}
	return depth - p.field.bestHeld
}

// anyOption accepts every option.
func anyOption(*option) bool { return true }
