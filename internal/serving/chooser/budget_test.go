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

// TestBudgetOfRetries abandons or fails attempts until the budget is spent.
func TestBudgetOfRetries(t *testing.T) {
	t.Parallel()
	for _, row := range []struct {
		name      string
		abandoned bool
		retries   int
		refused   bool
	}{
		{"abandoned attempts are retried for nothing", true, 20, false},
		{"failed attempts are paid from the budget", false, 20, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c, err := chooser.New(chooser.Config{Region: "a", Routers: 1, Log: silentLog()})
			is.NoErr(err)
			j := budgetJob()
			c.Bundle(j.Bundle)
			refused := false
			for attempt := 1; attempt <= row.retries+1; attempt++ {
				choice, err := c.Choose(t.Context(), j, attempt, nil)
				if err != nil {
					is.True(classifier.IsKind(err, classifier.UpstreamFailed))
					refused = true
					break
				}
				c.Sent(time.Now(), choice)
				if row.abandoned {
					c.Abandoned(time.Now(), choice)
					continue
				}
				c.Failed(time.Now(), choice, nil)
			}
			is.Equal(refused, row.refused)
		})
	}
}

func budgetJob() dispatcher.Job {
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

// silentLog returns a log that writes nothing.
func silentLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}
