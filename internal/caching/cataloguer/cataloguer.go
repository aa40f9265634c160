// Package cataloguer indexes which upstreams have which parts of prompts cached.
// It does no I/O and reads no clock.
package cataloguer

import "maps"

// Part identifies a piece of a prompt within a scope. A cached part is never
// shared across scopes: a scope identifies a group of organisations that share a
// cache, together with the weights version.
type Part struct {
	Scope string
	ID    string
}

// Holding is the number of tokens of a part, or of the leading parts of a prompt,
// that an upstream has cached.
type Holding struct {
	Tokens int
	// Pending is true if the upstream has yet to prefill the tokens; they cannot
	// be copied from it until then.
	Pending bool
}

// Catalogue maps parts to the upstreams that hold them, and the reverse. It is
// not safe for concurrent use.
type Catalogue struct {
	// tokensByPart and tokensByUpstream hold the same token counts.
	tokensByPart     map[Part]map[string]int
	tokensByUpstream map[string]map[Part]int
}

// New returns an empty Catalogue.
func New() *Catalogue {
	return &Catalogue{tokensByPart: make(map[Part]map[string]int), tokensByUpstream: make(map[string]map[Part]int)}
}

// SetTokens sets the number of tokens of a part that an upstream holds; 0 removes
// the entry.
func (c *Catalogue) SetTokens(upstream string, part Part, tokens int) {
	if tokens <= 0 {
		c.remove(upstream, part)
		return
	}
	if c.tokensByPart[part] == nil {
		c.tokensByPart[part] = make(map[string]int)
	}
	if c.tokensByUpstream[upstream] == nil {
		c.tokensByUpstream[upstream] = make(map[Part]int)
	}
	c.tokensByPart[part][upstream] = tokens
	c.tokensByUpstream[upstream][part] = tokens
}

func (c *Catalogue) remove(upstream string, part Part) {
	delete(c.tokensByPart[part], upstream)
	if len(c.tokensByPart[part]) == 0 {
		delete(c.tokensByPart, part)
	}
	delete(c.tokensByUpstream[upstream], part)
	if len(c.tokensByUpstream[upstream]) == 0 {
		delete(c.tokensByUpstream, upstream)
	}
}

// RemoveUpstream removes all entries of an upstream and returns their parts.
func (c *Catalogue) RemoveUpstream(upstream string) []Part {
	parts := make([]Part, 0, len(c.tokensByUpstream[upstream]))
	for part := range maps.Clone(c.tokensByUpstream[upstream]) {
		c.remove(upstream, part)
		parts = append(parts, part)
	}
	return parts
}

// Tokens returns how many tokens of a part an upstream holds.
func (c *Catalogue) Tokens(upstream string, part Part) int { return c.tokensByPart[part][upstream] }

// Each calls f for every entry, in no particular order.
func (c *Catalogue) Each(f func(upstream string, part Part, tokens int)) {
	for upstream, parts := range c.tokensByUpstream {
		for part, tokens := range parts {
			f(upstream, part, tokens)
		}
	}
}

// Holders returns the number of tokens of a part by upstream. The caller must not
// modify the map.
func (c *Catalogue) Holders(part Part) map[string]int { return c.tokensByPart[part] }
