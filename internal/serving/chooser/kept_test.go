package chooser_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/routing/selector"
	"gentianstep.example/gentianstep/internal/serving/chooser"
	"gentianstep.example/gentianstep/internal/serving/dispatcher"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

const sharedBlocks = 16

// keptTest describes requests that make a prefix hot at upstream a, followed by
// one request for the same prefix whose choice is checked.
type keptTest struct {
	Name string `json:"name"`
	// Import is the time to import a block from the store of region west. If it is
	// 0, there is no store.
	Import checker.Duration `json:"import"`
	// Warm is the number of requests before the last one.
	Warm int `json:"warm"`
	// Fail is true if the warm requests fail before their first token.
	Fail bool `json:"fail"`
	// Wait is the time between the warm requests and the last one.
	Wait checker.Duration `json:"wait"`
	// Exclude lists the upstreams excluded from the last request, a and c if absent.
	Exclude        []string `json:"exclude"`
	Organisation   string   `json:"organisation"`
	WeightsVersion string   `json:"weights_version"`
	Importable     int      `json:"importable"`
	ImportBlocks   int      `json:"import_blocks"`
	Export         bool     `json:"export"`
}

func (tt keptTest) bundle() *checker.Bundle {
	b := &checker.Bundle{Version: 1, Policy: checker.Policy{
		Selection: checker.SelectionPolicy{Name: "prefix_cost", RecomputePrice: 1},
		Attempts:  checker.AttemptPolicy{MaxAttempts: 3, RetryBudget: 0.1, MaxEjected: 0.5},
	}}
	for i, name := range []string{"a", "b", "c"} {
		u := checker.Upstream{Name: name, Kind: checker.Engine, Region: "west", AvailabilityZone: "west-1", Slots: 8}
		u.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
		if name == "c" {
			u.Region, u.AvailabilityZone = "east", "east-1"
		}
		b.Upstreams = append(b.Upstreams, u)
	}
	if tt.Import > 0 {
		b.KeptCaches = []checker.KeptCache{{Region: "west", ImportPerBlock: tt.Import}}
	}
	return b
}

func newJob(b *checker.Bundle, id, organisation, weights string) dispatcher.Job {
	prompt := strings.Repeat("catalogue sheet ", sharedBlocks*hasher.BlockBytes/16)
	return dispatcher.Job{
		ID:           id,
		Bundle:       b,
		Organisation: checker.Organisation{Name: organisation},
		Model:        checker.Model{Name: "tile-match", WeightsVersion: weights},
		Priority:     checker.Interactive,
		Path:         "/v1/completions",
		Request:      encoder.Request{Model: "tile-match", Prompt: prompt, MaxTokens: 1, Stream: true},
	}
}

func excluded(names ...string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// warm sends the warm requests to upstream a.
func (tt keptTest) warm(is *is.I, c *chooser.Chooser, b *checker.Bundle) {
	for i := range tt.Warm {
		choice, err := c.Choose(context.Background(), newJob(b, fmt.Sprint(i), "kliek-teels", "w1"), 1, excluded("b", "c"))
		is.NoErr(err)
		c.Sent(time.Now(), choice)
		if tt.Fail {
			c.Failed(time.Now(), choice, errors.New("connection reset"))
			continue
		}
		c.FirstToken(time.Now(), choice)
		c.Finished(time.Now(), choice)
	}
}

func TestKeptCache(t *testing.T) {
	t.Parallel()
	var tests []keptTest
	scripter.Read(t, "testdata/kept.json", &tests)
	for _, tt := range tests {
		t.Run(tt.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log, hook := logtest.NewNullLogger()
				c, err := chooser.New(chooser.Config{Region: "west", AvailabilityZone: "west-1", Log: logrus.NewEntry(log)})
				is.NoErr(err)
				b := tt.bundle()
				c.SetBundle(b)
				tt.warm(is, c, b)
				time.Sleep(tt.Wait.Std())
				exclude := tt.Exclude
				if exclude == nil {
					exclude = []string{"a", "c"}
				}
				j := newJob(b, "last", cmp.Or(tt.Organisation, "kliek-teels"), cmp.Or(tt.WeightsVersion, "w1"))
				choice, err := c.Choose(context.Background(), j, 1, excluded(exclude...))
				is.NoErr(err)
				fields := hook.LastEntry().Data
				is.Equal(fields["importable_blocks"], tt.Importable)
				is.Equal(fields["import_blocks"], tt.ImportBlocks)
				is.Equal(choice.ImportBlocks, tt.ImportBlocks)
				is.Equal(choice.Export, tt.Export)
			})
		})
	}
}

// TestImportDoesNotChangePrefillEstimate checks that the short time to the first
// token of an attempt with an import does not lower the estimated prefill time of
// the engine.
func TestImportDoesNotChangePrefillEstimate(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log, hook := logtest.NewNullLogger()
		c, err := chooser.New(chooser.Config{Region: "west", AvailabilityZone: "west-1", Log: logrus.NewEntry(log)})
		is.NoErr(err)
		tt := keptTest{Import: checker.Duration(200 * time.Microsecond), Warm: 2}
		b := tt.bundle()
		c.SetBundle(b)
		tt.warm(is, c, b)
		prefill := func(id, organisation string) (dispatcher.Choice, time.Duration) {
			choice, err := c.Choose(context.Background(), newJob(b, id, organisation, "w1"), 1, excluded("a", "c"))
			is.NoErr(err)
			costs, _ := hook.LastEntry().Data["costs"].([]selector.Cost)
			is.Equal(len(costs), 1)
			return choice, costs[0].Prefill
		}
		_, before := prefill("before", "benoit-faience")
		choice, importing := prefill("import", "kliek-teels")
		is.Equal(importing, sharedBlocks*tt.Import.Std())
		c.Sent(time.Now(), choice)
		time.Sleep(importing)
		c.FirstToken(time.Now(), choice)
		c.Finished(time.Now(), choice)
		_, after := prefill("after", "rode-tegel")
		is.Equal(after, before)
	})
}
