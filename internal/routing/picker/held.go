package picker

import (
	"maps"
	"net/netip"
	"slices"

	"gentianstep.example/gentianstep/internal/caching/cataloguer"
)

// held is who holds how much of the prompt in one version's scope.
type held struct {
	tokens map[string]int
	most   int
	// sources are the best origins of copies, one of each zone at most beside
	// the stores.
	sources []origin
}

// origin is a source of copies with what it has.
type origin struct {
	source *Source
	tokens int
}

// holdings returns how many leading tokens of the prompt each upstream and
// store holds, or will hold from what was sent there.
func (e *estimate) holdings(version uint64, scope string) *held {
	if h, ok := e.held[version]; ok {
		return h
	}
	prompt := e.query.Prompt
	holdings := make(map[string]cataloguer.Holding)
	for i, part := range prompt.Shared {
		for id, h := range prompt.Holders(cataloguer.Part{Scope: scope, ID: part.ID}) {
			before := holdings[id]
			if i == 0 || before.Tokens == leading(prompt.Shared[:i]) {
				holdings[id] = cataloguer.Holding{
					Tokens: before.Tokens + min(h.Tokens, part.Tokens),
					Coming: before.Coming || h.Coming,
				}
			}
		}
	}
	sent, ok := e.picker.sent[scope+"\x00"+prompt.Shared[0].ID]
	if ok && e.now.Before(sent.until) && holdings[sent.upstream].Tokens == 0 {
		holdings[sent.upstream] = cataloguer.Holding{Tokens: prompt.SharedTokens(), Coming: true}
	}
	h := &held{tokens: make(map[string]int, len(holdings))}
	for id, holding := range holdings {
		h.tokens[id] = holding.Tokens
		h.most = max(h.most, holding.Tokens)
	}
	h.sources = e.origins(holdings)
	e.held[version] = h
	return h
}

// origins lists the sources worth a look: the stores, and of each zone the
// upstream with most, by the least busy link among equals.
func (e *estimate) origins(holdings map[string]cataloguer.Holding) []origin {
	var list []origin
	best := make(map[string]origin)
	for _, u := range e.query.Upstreams {
		holding := holdings[u.ID]
		if holding.Tokens < leastFetch || holding.Coming {
			continue
		}
		o := origin{e.source(u.ID, u.Address, u.AvailabilityZone, e.query.Prompt.Engine.LinkBytesPerSecond), holding.Tokens}
		known, ok := best[u.AvailabilityZone]
		if !ok || o.tokens > known.tokens || o.tokens == known.tokens && o.source.copying < known.source.copying {
			best[u.AvailabilityZone] = o
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(best)) {
		list = append(list, best[zone])
	}
	for _, store := range e.query.Prompt.Stores {
		if holding := holdings[store.ID]; holding.Tokens >= leastFetch && !holding.Coming {
			rate := min(store.LinkBytesPerSecond, e.query.Prompt.Engine.LinkBytesPerSecond)
			list = append(list, origin{e.source(store.ID, store.Address, store.AvailabilityZone, rate), holding.Tokens})
		}
	}
	return list
}

// source describes an origin of copies with the work of its link.
func (e *estimate) source(id string, address netip.AddrPort, zone string, rate float64) *Source {
	copying := e.picker.own(id).Copying
	if e.query.Others != nil {
		copying += e.query.Others(id).Copying
	}
	return &Source{ID: id, Address: address, zone: zone, rate: rate, copying: copying}
}

func leading(parts []SharedPart) int {
	total := 0
	for _, part := range parts {
		total += part.Tokens
	}
	return total
}
