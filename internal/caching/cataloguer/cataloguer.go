// Package cataloguer remembers which upstreams hold which parts of prompts. It
// does no I/O and reads no clock.
package cataloguer

import "maps"

// Part names a piece of a prompt in one scope. Parts of different scopes are
// never shared: a scope joins the organisations that share a cache and the
// version of the weights.
type Part struct {
	Scope string
	ID    string
}

// Holding is how much of a part, or of leading parts, an upstream has.
type Holding struct {
	Tokens int
	// Coming is true where it is about to read them, so that nothing can be
	// copied from it yet.
	Coming bool
}

// Catalogue is used by one goroutine at a time.
type Catalogue struct {
	holders map[Part]map[string]int
	held    map[string]map[Part]int
}

// New returns an empty Catalogue.
func New() *Catalogue {
	return &Catalogue{holders: make(map[Part]map[string]int), held: make(map[string]map[Part]int)}
}

// Put notes how many tokens of a part an upstream holds, 0 for none.
func (c *Catalogue) Put(upstream string, part Part, tokens int) {
	if tokens <= 0 {
		c.remove(upstream, part)
		return
	}
	if c.holders[part] == nil {
		c.holders[part] = make(map[string]int)
	}
	if c.held[upstream] == nil {
		c.held[upstream] = make(map[Part]int)
	}
	c.holders[part][upstream] = tokens
	c.held[upstream][part] = tokens
}

func (c *Catalogue) remove(upstream string, part Part) {
	delete(c.holders[part], upstream)
	if len(c.holders[part]) == 0 {
		delete(c.holders, part)
	}
	delete(c.held[upstream], part)
	if len(c.held[upstream]) == 0 {
		delete(c.held, upstream)
	}
}

// Forget drops what an upstream held and returns it.
func (c *Catalogue) Forget(upstream string) []Part {
	parts := make([]Part, 0, len(c.held[upstream]))
	for part := range maps.Clone(c.held[upstream]) {
		c.remove(upstream, part)
		parts = append(parts, part)
	}
	return parts
}

// Tokens returns how many tokens of a part an upstream holds.
func (c *Catalogue) Tokens(upstream string, part Part) int { return c.holders[part][upstream] }

// Each calls f for everything that is held.
func (c *Catalogue) Each(f func(upstream string, part Part, tokens int)) {
	for upstream, parts := range c.held {
		for part, tokens := range parts {
			f(upstream, part, tokens)
		}
	}
}

// Holders returns the upstreams that hold a part with the tokens they hold. The
// map must not be changed.
func (c *Catalogue) Holders(part Part) map[string]int { return c.holders[part] }
