package rationer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/routing/matcher"
)

// TestRemovedOrganisations guards against memory for organisations that have been removed, and
// against requests that wait for the quota of one.
func TestRemovedOrganisations(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := matcher.Organisation{Name: "o", Quota: matcher.Quota{PerSecond: 10, Tokens: true, PlainTokens: 5}}
		c := &matcher.Configuration{Version: 1, Organisations: []matcher.Organisation{o}}
		r := New(Config{Configuration: func() *matcher.Configuration { return c }, OnDemand: func() {}, Meter: meter.New()})
		admit := func() bool {
			_, err := r.Admit(t.Context(), Request{Organisation: &o, Tokens: 9, ArrivedAt: time.Now(), Deadline: time.Now().Add(time.Minute)})
			return err == nil
		}
		is.True(!admit()) // leaves a time of return
		admitted := make(chan bool)
		go func() { admitted <- admit() }()
		synctest.Wait()
		c = &matcher.Configuration{Version: 2}
		r.QuotaReports()
		is.True(<-admitted)
		r.SetBounds(Bounds{Over: 1})
		r.QuotaReports()
		is.Equal(len(r.queues)+len(r.returns), 0)
	})
}
