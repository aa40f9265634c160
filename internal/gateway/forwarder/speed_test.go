package forwarder_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestSpeedsAreLearnedWithoutHub sends prompts to a slow and a usual engine. It guards against
// samples that do not reach the choices or the reports, and against those of resumed streams.
func TestSpeedsAreLearnedWithoutHub(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 2)
		f.workers[0].PrefillPerToken, f.workers[1].PrefillPerToken = 3*readPerToken, readPerToken
		send := func(id, last string) {
			r := f.request(t, "resumable", id)
			r.Header.Set("Token-Usage", "4000,5")
			if last != "" {
				r.Header.Set("Last-Event-Id", last)
			}
			is.Equal(f.do(r).status, 200)
		}
		for n := range 60 {
			send(fmt.Sprint("prompt-", n), "")
			time.Sleep(50 * time.Millisecond)
		}
		count := 0
		for _, s := range f.forwarder.DrainSpeeds() {
			is.Equal(s.Service, "s")
			count += s.Count
		}
		is.Equal(count, 60)
		t.Logf("%d of 60 prompts went to the slow engine", len(f.workers[0].Runs()))
		before := len(f.workers[0].Runs())
		for n := range 40 {
			send(fmt.Sprint("later-", n), "")
		}
		is.True(before >= 3 && before <= 20)               // learned before half of the prompts
		is.Equal(len(f.workers[0].Runs()), before)         // all prompts go to the other one
		is.True(strings.Contains(f.log.String(), "speed")) // the factor is logged
		f.forwarder.DrainSpeeds()
		send("resumed", "2")
		is.Equal(len(f.forwarder.DrainSpeeds()), 0)
	})
}
