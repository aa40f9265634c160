package picker

import (
	"maps"
	"net/netip"
	"slices"

	"gentianstep.example/gentianstep/internal/caching/cataloguer"
)

// prefixHoldings is the number of leading tokens of a prompt that each upstream
// and store holds in the cache scope of one version of the weights.
type prefixHoldings struct {
	tokens map[string]int
	// longest is the largest of tokens.
	longest int
	// sources lists the sources of copies: the stores, and at most one upstream
	// of each availability zone.
	sources []fetchSource
}

// fetchSource is a source of copies and the number of leading tokens it holds.
type fetchSource struct {
	source *Source
	tokens int
}

// prefixHoldings returns the holdings of the prompt's leading tokens. They
// include parts that were sent to an upstream and are not prefilled yet.
func (e *costEstimator) prefixHoldings(version uint64, scope string) *prefixHoldings {
	if h, ok := e.holdings[version]; ok {
		return h
	}
	prompt := e.query.Prompt
	holdings := make(map[string]cataloguer.Holding)
	for i, part := range prompt.Shared {
		for id, h := range prompt.Holders(cataloguer.Part{Scope: scope, ID: part.ID}) {
			before := holdings[id]
			if i == 0 || before.Tokens == sumTokens(prompt.Shared[:i]) {
				holdings[id] = cataloguer.Holding{
					Tokens:  before.Tokens + min(h.Tokens, part.Tokens),
					Pending: before.Pending || h.Pending,
				}
			}
		}
	}
	sent, ok := e.picker.sent[scope+"\x00"+prompt.PrefixID()]
	if ok && e.now.Before(sent.until) && holdings[sent.upstream].Tokens < prompt.SharedTokens() {
		holdings[sent.upstream] = cataloguer.Holding{Tokens: prompt.SharedTokens(), Pending: true}
	}
	h := &prefixHoldings{tokens: make(map[string]int, len(holdings))}
	for id, holding := range holdings {
		h.tokens[id] = holding.Tokens
		h.longest = max(h.longest, holding.Tokens)
	}
	h.sources = e.fetchSources(holdings)
	e.holdings[version] = h
	return h
}

// fetchSources returns the sources considered for copies: the stores, and of
// each availability zone the upstream that holds the most tokens. Of upstreams
// with equally many it takes the one whose link is busy for the shortest time.
func (e *costEstimator) fetchSources(holdings map[string]cataloguer.Holding) []fetchSource {
	var list []fetchSource
	best := make(map[string]fetchSource)
	for _, u := range slices.Concat(e.query.Upstreams, e.query.Sources) {
		holding := holdings[u.ID]
		if holding.Tokens < minFetchTokens || holding.Pending {
			continue
		}
		s := fetchSource{e.newSource(u.ID, u.Address, u.AvailabilityZone, e.query.Prompt.Engine.LinkBytesPerSecond), holding.Tokens}
		known, ok := best[u.AvailabilityZone]
		if !ok || s.tokens > known.tokens || s.tokens == known.tokens && s.source.copying < known.source.copying {
			best[u.AvailabilityZone] = s
		}
	}
	for _, availabilityZone := range slices.Sorted(maps.Keys(best)) {
		list = append(list, best[availabilityZone])
	}
	for _, store := range e.query.Prompt.Stores {
		if holding := holdings[store.ID]; holding.Tokens >= minFetchTokens && !holding.Pending {
			rate := min(store.LinkBytesPerSecond, e.query.Prompt.Engine.LinkBytesPerSecond)
			list = append(list, fetchSource{e.newSource(store.ID, store.Address, store.AvailabilityZone, rate), holding.Tokens})
		}
	}
	return list
}

// newSource returns a source of copies with the time that its link is busy with
// copies for this VM and the others.
func (e *costEstimator) newSource(id string, address netip.AddrPort, availabilityZone string, rate float64) *Source {
	copying := e.picker.ownLoad(id).Copying
	if e.query.OtherLoad != nil {
		copying += e.query.OtherLoad(id).Copying
	}
	return &Source{ID: id, Address: address, availabilityZone: availabilityZone, rate: rate, copying: copying}
}

func sumTokens(parts []SharedPart) int {
	total := 0
	for _, part := range parts {
		total += part.Tokens
	}
	return total
}
