package forwarder_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	objective    = 800 * time.Millisecond
	longTokens   = 17_000
	shortTokens  = 300
	readPerToken = 20 * time.Microsecond
)

// tally counts what became of the requests of one kind.
type tally struct {
	mu      sync.Mutex
	onTime  int
	late    int
	refused int
	// returns are the times after which refused clients should come back.
	returns []float64
}

func (c *tally) count(t *testing.T, response *http.Response, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case response.StatusCode == http.StatusServiceUnavailable:
		c.refused++
		wait, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		if err != nil {
			t.Errorf("time to return: %v", err)
		}
		c.returns = append(c.returns, wait)
	case took <= objective:
		c.onTime++
	default:
		c.late++
	}
}

// send asks for one answer and waits for its first event.
func (c *tally) send(t *testing.T, f *fixture, id string, tokens int) {
	r := f.request(t, "once", id)
	r.Header.Set("Token-Usage", fmt.Sprintf("%d,10", tokens))
	began := time.Now()
	response, err := f.client.Do(r)
	if err != nil {
		t.Errorf("%s: %v", id, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = response.Body.Read(make([]byte, 1)) // the first event, or a refusal's text
	c.count(t, response, time.Since(began))
}

// TestShortPromptsKeepTheirObjectiveAtTheWorstLoad replays long prompts that take
// engines 1.7 times the time that there is, and short ones among them.
func TestShortPromptsKeepTheirObjectiveAtTheWorstLoad(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 2)
		c := testConfiguration()
		for i := range c.Routes {
			c.Routes[i].Timeout, c.Routes[i].TargetLatency = 5*time.Second, objective
		}
		f.directory.configure(c)
		for _, u := range f.directory.upstreams["s"] {
			u.Slots = 24
		}
		for _, w := range f.workers {
			w.ReadPerToken = readPerToken
		}
		var long, short tally
		var group sync.WaitGroup
		const steps = 400 // of 10 ms
		for n := range steps {
			if n%10 == 0 {
				group.Go(func() { long.send(t, f, fmt.Sprint("long ", n), longTokens) })
			}
			if n%3 == 0 {
				group.Go(func() { short.send(t, f, fmt.Sprint("short ", n), shortTokens) })
			}
			time.Sleep(10 * time.Millisecond)
		}
		group.Wait()
		is.Equal(short.refused, 0)
		is.True(short.onTime >= 95*(short.onTime+short.late)/100)
		is.True(long.onTime >= 15) // of 20 that could be read in time
		is.True(long.refused > 0)  // the others hear it at once
		least, most := long.returns[0], long.returns[0]
		for _, wait := range long.returns {
			least, most = min(least, wait), max(most, wait)
		}
		is.True(least > 0.1)
		is.True(most > 1.3*least) // spread, so that they do not come back as a wave
	})
}
