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

// tally counts the outcomes of the requests of one kind.
type tally struct {
	mu      sync.Mutex
	onTime  int
	late    int
	refused int
	// retryAfter holds the Retry-After values of the refusals in seconds.
	retryAfter []float64
}

// count records the outcome of one response.
func (c *tally) count(t *testing.T, response *http.Response, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case response.StatusCode == http.StatusServiceUnavailable:
		c.refused++
		wait, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		if err != nil {
			t.Errorf("parse Retry-After: %v", err)
		}
		c.retryAfter = append(c.retryAfter, wait)
	case took <= objective:
		c.onTime++
	default:
		c.late++
	}
}

// send sends one request, waits for its first event and counts the outcome.
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
	_, _ = response.Body.Read(make([]byte, 1)) // the first event, or the text of a refusal
	c.count(t, response, time.Since(began))
}

// TestShortPromptsMeetObjectiveUnderOverload sends long prompts that need 1.7
// times the capacity of the engines, and short ones among them. Without
// refusals the long prompts delay the short ones past their latency objective.
func TestShortPromptsMeetObjectiveUnderOverload(t *testing.T) {
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
			w.PrefillPerToken = readPerToken
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
		is.True(long.onTime >= 15) // the engines can read 20 of them in time
		is.True(long.refused > 0)  // the others are refused
		shortest, longest := long.retryAfter[0], long.retryAfter[0]
		for _, wait := range long.retryAfter {
			shortest, longest = min(shortest, wait), max(longest, wait)
		}
		is.True(shortest > 0.1)
		is.True(longest > 1.3*shortest) // jitter, so that clients do not all retry at once
	})
}
