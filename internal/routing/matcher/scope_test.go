package matcher_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentianstep.example/gentianstep/internal/routing/matcher"
)

// sentRequest is a request that was sent in the cache scope of a configuration.
type sentRequest struct {
	organisation *matcher.Organisation
	scoped       *matcher.Matcher
}

// TestScopesKeepIsolatedOrganisationsApart plays configurations with all changes of isolation,
// removals and returns of organisations. Requests that were sent before a change use their
// scope as long as that is allowed.
func TestScopesKeepIsolatedOrganisationsApart(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		makers := make(map[string][]string)
		sent := make([]sentRequest, 0, 4*12) // at most four organisations in 12 configurations
		for step := range rapid.IntRange(1, 12).Draw(t, "configurations") {
			m := drawOrganisations(t)
			use := func(o *matcher.Organisation, scope string) {
				for _, maker := range makers[scope] {
					if maker != o.Name && (isIsolated(m, maker) || isIsolated(m, o.Name)) {
						t.Fatalf("step %d: %s uses cache that %s made in scope %q", step, o.Name, maker, scope)
					}
				}
				makers[scope] = append(makers[scope], o.Name)
			}
			shared := m.CacheScope(nil)
			for i := range m.Configuration().Organisations {
				o := &m.Configuration().Organisations[i]
				if (m.CacheScope(o) == shared) == o.Isolated {
					t.Fatalf("step %d: scope of %s is %q, shared one is %q", step, o.Name, m.CacheScope(o), shared)
				}
				use(o, m.CacheScope(o))
				sent = append(sent, sentRequest{o, m})
			}
			for _, r := range sent {
				if m.AllowsScopeOf(r.scoped, r.organisation) {
					use(r.organisation, r.scoped.CacheScope(r.organisation))
				} else {
					use(r.organisation, m.CacheScope(r.organisation))
				}
			}
		}
	})
}

// drawOrganisations returns a configuration in which each organisation is shared, isolated or
// missing.
func drawOrganisations(t *rapid.T) *matcher.Matcher {
	c := &matcher.Configuration{Version: 1}
	for _, name := range []string{"a", "b", ":", "a,b"} {
		kind := rapid.SampledFrom([]string{"shared", "isolated", "missing"}).Draw(t, fmt.Sprintf("organisation %q", name))
		if kind != "missing" {
			c.Organisations = append(c.Organisations, matcher.Organisation{Name: name, Isolated: kind == "isolated"})
		}
	}
	return matcher.New(c)
}

func isIsolated(m *matcher.Matcher, name string) bool {
	return slices.ContainsFunc(m.Configuration().Organisations, func(o matcher.Organisation) bool { return o.Name == name && o.Isolated })
}

// TestOrganisationWithTwoEntriesIsIsolatedByOne checks entries that contradict each other.
func TestOrganisationWithTwoEntriesIsIsolatedByOne(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	m := matcher.New(&matcher.Configuration{Version: 1, Organisations: []matcher.Organisation{
		{Name: "a", Keys: []string{"k1"}, Isolated: true}, {Name: "a", Keys: []string{"k2"}}, {Name: "b", Keys: []string{"k3"}},
	}})
	for _, key := range []string{"k1", "k2"} {
		o, ok := m.FindOrganisation(key)
		is.True(ok)
		is.Equal(m.CacheScope(o), "a")
	}
	is.True(m.CacheScope(nil) != "" && m.CacheScope(nil) != "a")
}
