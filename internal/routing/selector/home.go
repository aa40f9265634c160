package selector

const (
	// boundedLoadFactor is the load of a home, as a multiple of the mean local load,
	// above which its prompts overflow to the next upstream in rendezvous order
	// (consistent hashing with bounded loads).
	boundedLoadFactor = 1.25
	// minLoadLimit is the load in requests per slot up to which a home accepts
	// prompts regardless of the mean.
	minLoadLimit = 0.9
)

// needsReplica reports whether fewer candidates in the preferred region hold the
// home prefix of the prompt than r.Replicas.
func (p *PrefixCost) needsReplica(r *Request) bool {
	depth := r.homeDepth()
	if depth == 0 {
		return false
	}
	holders := 0
	for i := range p.set.options {
		o := &p.set.options[i]
		if p.set.preferred(o) && int(o.held) >= depth {
			holders++
		}
	}
	return holders < max(r.Replicas, 1)
}

// chooseHome returns the index of the home option for a prompt whose prefix has
// too few replicas, and the reason. It returns -1 if every candidate home is
// overloaded or too expensive. All routers rank homes in the same order, so that
// the prefix is computed on few upstreams even without a cache index.
func (p *PrefixCost) chooseHome(pr *pricer, candidates []Candidate, lowest int) (int, string) {
	set := &p.set
	r := pr.request
	p.ranker.setLevels(r)
	mean := set.localLoad / float64(max(set.localCount, 1))
	limit := max(boundedLoadFactor*mean, minLoadLimit)
	cheapest := set.options[lowest]
	gain := float64(p.reusableBlocks(r)) * (1 + pr.recomputePrice)
	maxTotal := cheapest.total + scale(prefillPerBlock(&candidates[cheapest.index]), gain)
	accept := func(o *option) bool {
		return candidates[o.index].load() <= limit && o.total <= maxTotal
	}
	p.homes = p.ranker.appendTop(p.homes[:0], set, candidates, max(r.Replicas, 1), anyOption)
	home := -1
	for _, i := range p.homes {
		o := &set.options[i]
		if accept(o) && (home < 0 || o.total < set.options[home].total) {
			home = int(i)
		}
	}
	if home >= 0 {
		return home, ReasonPrefixHome
	}
	p.homes = p.ranker.appendTop(p.homes[:0], set, candidates, 1, accept)
	if len(p.homes) == 0 {
		return -1, ""
	}
	return int(p.homes[0]), ReasonHomeOverflow
}

// reusableBlocks returns the number of blocks that later requests can reuse once
// a home has computed them: those that no local candidate holds, or the whole
// home prefix if one does and the request adds a replica.
func (p *PrefixCost) reusableBlocks(r *Request) int {
	depth := r.homeDepth()
	if p.set.maxLocalHeld >= depth {
		return depth
	}
	return depth - p.set.maxLocalHeld
}

// anyOption is the accept function that allows every option.
func anyOption(*option) bool { return true }
