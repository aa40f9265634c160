package matcher_test

import (
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/routing/matcher"
)

func newMatcher() *matcher.Matcher {
	route := func(name, host, prefix string) matcher.Route {
		return matcher.Route{Name: name, Host: host, Prefix: prefix, Kind: matcher.Idempotent, Services: []matcher.WeightedService{{Service: "s", Weight: 1}}}
	}
	return matcher.New(&matcher.Configuration{
		Version: 1,
		Routes: []matcher.Route{
			route("short", "a.example", "/p/"),
			route("long", "a.example", "/p/q/"),
			route("other", "b.example", "/"),
		},
		Organisations: []matcher.Organisation{{Name: "o", Keys: []string{"k"}}},
	})
}

func TestRoutes(t *testing.T) {
	t.Parallel()
	m := newMatcher()
	for _, row := range []struct{ host, path, route string }{
		{"a.example", "/p/x", "short"},
		{"a.example", "/p/q/x", "long"},
		{"a.example", "/p/q", "short"},
		{"a.example", "/p", ""},
		{"a.example", "/P/x", ""},
		{"a.example", "/p/../p/q/x", "short"},
		{"A.Example:8080", "/p/x", "short"},
		{"b.example", "/anything", "other"},
		{"c.example", "/p/x", ""},
		{"", "/p/x", ""},
	} {
		t.Run(row.host+row.path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r, ok := m.FindRoute(row.host, row.path)
			is.Equal(ok, row.route != "")
			if ok {
				is.Equal(r.Name, row.route)
			}
		})
	}
}

func TestKeys(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	m := newMatcher()
	o, ok := m.FindOrganisation("k")
	is.True(ok)
	is.Equal(o.Name, "o")
	_, ok = m.FindOrganisation("")
	is.True(!ok)
	is.True(m.RequiresKey(&matcher.Route{}))
	is.True(!m.RequiresKey(&matcher.Route{Public: true}))
	is.True(!matcher.New(&matcher.Configuration{}).RequiresKey(&matcher.Route{}))
}

func TestServiceFollowsWeights(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := matcher.Route{Services: []matcher.WeightedService{{Service: "a", Weight: 90}, {Service: "zero", Weight: 0}, {Service: "b", Weight: 10}}}
	counts := make(map[string]int)
	for n := range 1000 {
		counts[r.SelectService(float64(n)/1000)]++
	}
	is.Equal(counts, map[string]int{"a": 900, "b": 100})
	zeroWeight := matcher.Route{Services: []matcher.WeightedService{{Service: "a"}}}
	is.Equal(zeroWeight.SelectService(0.5), "a")
}
