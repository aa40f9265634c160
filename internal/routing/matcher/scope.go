package matcher

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"net/url"
	"slices"
	"strings"
)

const (
	// sharedScopePrefix precedes the digest in the scope that organisations share. The
	// escaped name of an organisation has no such character.
	sharedScopePrefix = ":"
	// sharedScopeBytes is the length of that digest in bytes.
	sharedScopeBytes = 16
)

// isolation holds which organisations of a configuration share no cache with others.
type isolation struct {
	// isolated is keyed by the name of each organisation.
	isolated map[string]bool
	// sharedScope is the scope of the organisations that are not isolated.
	sharedScope string
}

func newIsolation(organisations []Organisation) isolation {
	i := isolation{isolated: make(map[string]bool, len(organisations))}
	for _, o := range organisations {
		i.isolated[o.Name] = i.isolated[o.Name] || o.Isolated
	}
	i.sharedScope = sharedScope(i.names())
	return i
}

// names returns the names of the isolated organisations in order.
func (i isolation) names() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(i.isolated)) {
		if i.isolated[name] {
			names = append(names, name)
		}
	}
	return names
}

// includes reports whether requests of an organisation are isolated, nil being those
// without one. An organisation that the configuration lacks is what it was when the
// request was admitted.
func (i isolation) includes(o *Organisation) bool {
	if o == nil {
		return false
	}
	isolated, ok := i.isolated[o.Name]
	return isolated || !ok && o.Isolated
}

// sharedScope returns the scope of all organisations but the isolated ones, whose sorted
// names it takes. It depends on them alone, so that all VMs derive the same scope from a
// configuration, and no organisation finds in it what another one wrote there before it
// became isolated.
func sharedScope(isolated []string) string {
	if len(isolated) == 0 {
		return ""
	}
	escaped := make([]string, len(isolated))
	for n, name := range isolated {
		escaped[n] = url.QueryEscape(name)
	}
	digest := sha256.Sum256([]byte(strings.Join(escaped, ",")))
	return sharedScopePrefix + hex.EncodeToString(digest[:sharedScopeBytes])
}

// CacheScope returns the scope of the KV cache that requests of an organisation may use,
// without the version of the weights. It is printable ASCII without "@". The organisation is
// that of this configuration or of an earlier one, or nil for requests without one.
func (m *Matcher) CacheScope(o *Organisation) string {
	if !m.isolation.includes(o) {
		return m.isolation.sharedScope
	}
	return cmp.Or(url.QueryEscape(o.Name), sharedScopePrefix)
}

// AllowsScopeOf reports whether a request of an organisation may still use the scope that it
// has by an earlier configuration: nobody has become isolated who may have written there.
func (m *Matcher) AllowsScopeOf(earlier *Matcher, o *Organisation) bool {
	if earlier == m || earlier.isolation.includes(o) {
		return true
	}
	return !slices.ContainsFunc(m.isolation.names(), func(name string) bool { return !earlier.isolation.isolated[name] })
}
