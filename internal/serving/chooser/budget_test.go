package chooser_test

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/serving/chooser"
	"gentianstep.example/gentianstep/internal/serving/dispatcher"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
)

// TestRetryBudget checks that failed attempts use up the retry budget and abandoned
// attempts do not.
func TestRetryBudget(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name      string
		abandoned bool
		retries   int
		refused   bool
	}{
		{"retries of abandoned attempts are free", true, 20, false},
		{"retries of failed attempts use the budget", false, 20, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c, err := chooser.New(chooser.Config{Region: "a", Routers: 1, Log: discardLog()})
			is.NoErr(err)
			j := newBudgetJob()
			c.SetBundle(j.Bundle)
			refused := false
			for attempt := 1; attempt <= tt.retries+1; attempt++ {
				choice, err := c.Choose(t.Context(), j, attempt, nil)
				if err != nil {
					is.True(classifier.IsKind(err, classifier.UpstreamFailed))
					refused = true
					break
				}
				c.Sent(time.Now(), choice)
				if tt.abandoned {
					c.Abandoned(time.Now(), choice)
					continue
				}
				c.Failed(time.Now(), choice, nil)
			}
			is.Equal(refused, tt.refused)
		})
	}
}

func newBudgetJob() dispatcher.Job {
	b := &checker.Bundle{
		Version: 1,
		Models:  []checker.Model{{Name: "m", WeightsVersion: "w1"}},
		Upstreams: []checker.Upstream{
			{Name: "u1", Kind: checker.Engine, Region: "a", Slots: 4, Models: []string{"m"}},
			{Name: "u2", Kind: checker.Engine, Region: "a", Slots: 4, Models: []string{"m"}},
		},
		Policy: checker.Policy{
			Selection: checker.SelectionPolicy{Name: "prefix_cost", LookupTimeout: checker.Duration(time.Millisecond)},
			Attempts:  checker.AttemptPolicy{MaxAttempts: 100, RetryBudget: 0.1, Cooldown: checker.Duration(time.Second), MaxEjected: 1},
		},
	}
	return dispatcher.Job{
		ID:      "request",
		Bundle:  b,
		Model:   b.Models[0],
		Path:    "/v1/completions",
		Request: encoder.Request{Model: "m", Prompt: string(make([]byte, 8*hasher.BlockBytes))},
	}
}

// discardLog returns a log entry whose output is discarded.
func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}
