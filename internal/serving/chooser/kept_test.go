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

// keptRow is a prefix that warm requests make hot at upstream a, and one more
// request for it.
type keptRow struct {
	Name string `json:"name"`
	// Import is the time to import a block from the store of region west, 0 for
	// no store.
	Import checker.Duration `json:"import"`
	Warm   int              `json:"warm"`
	// Fail makes the warm requests fail before their first token.
	Fail           bool             `json:"fail"`
	Wait           checker.Duration `json:"wait"`
	Exclude        []string         `json:"exclude"`
	Organisation   string           `json:"organisation"`
	WeightsVersion string           `json:"weights_version"`
	Importable     int              `json:"importable"`
	ImportBlocks   int              `json:"import_blocks"`
	Export         bool             `json:"export"`
}

func (r keptRow) bundle() *checker.Bundle {
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
	if r.Import > 0 {
		b.KeptCaches = []checker.KeptCache{{Region: "west", ImportPerBlock: r.Import}}
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

func (r keptRow) warm(is *is.I, c *chooser.Chooser, b *checker.Bundle) {
	for i := range r.Warm {
		choice, err := c.Choose(context.Background(), newJob(b, fmt.Sprint(i), "kliek-teels", "w1"), 1, excluded("b", "c"))
		is.NoErr(err)
		c.Sent(time.Now(), choice)
		if r.Fail {
			c.Failed(time.Now(), choice, errors.New("connection reset"))
			continue
		}
		c.FirstToken(time.Now(), choice)
		c.Finished(time.Now(), choice)
	}
}

func TestKeptCacheIsOfferedToTheSelection(t *testing.T) {
	t.Parallel()
	var rows []keptRow
	scripter.Read(t, "testdata/kept.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log, hook := logtest.NewNullLogger()
				c, err := chooser.New(chooser.Config{Region: "west", AvailabilityZone: "west-1", Log: logrus.NewEntry(log)})
				is.NoErr(err)
				b := row.bundle()
				c.Bundle(b)
				row.warm(is, c, b)
				time.Sleep(row.Wait.Std())
				exclude := row.Exclude
				if exclude == nil {
					exclude = []string{"a", "c"}
				}
				j := newJob(b, "last", cmp.Or(row.Organisation, "kliek-teels"), cmp.Or(row.WeightsVersion, "w1"))
				choice, err := c.Choose(context.Background(), j, 1, excluded(exclude...))
				is.NoErr(err)
				fields := hook.LastEntry().Data
				is.Equal(fields["importable_blocks"], row.Importable)
				is.Equal(fields["import_blocks"], row.ImportBlocks)
				is.Equal(choice.ImportBlocks, row.ImportBlocks)
				is.Equal(choice.Export, row.Export)
			})
		})
	}
}

// TestImportIsNoSampleOfPrefill answers an attempt with an import quickly. The
// engine must not count as quick at computing afterwards.
func TestImportIsNoSampleOfPrefill(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log, hook := logtest.NewNullLogger()
		c, err := chooser.New(chooser.Config{Region: "west", AvailabilityZone: "west-1", Log: logrus.NewEntry(log)})
		is.NoErr(err)
		row := keptRow{Import: checker.Duration(200 * time.Microsecond), Warm: 2}
		b := row.bundle()
		c.Bundle(b)
		row.warm(is, c, b)
		prefill := func(id, organisation string) (dispatcher.Choice, time.Duration) {
			choice, err := c.Choose(context.Background(), newJob(b, id, organisation, "w1"), 1, excluded("a", "c"))
			is.NoErr(err)
			costs, _ := hook.LastEntry().Data["costs"].([]selector.Cost)
			is.Equal(len(costs), 1)
			return choice, costs[0].Prefill
		}
		_, before := prefill("before", "benoit-faience")
		choice, importing := prefill("import", "kliek-teels")
		is.Equal(importing, sharedBlocks*row.Import.Std())
		c.Sent(time.Now(), choice)
		time.Sleep(importing)
		c.FirstToken(time.Now(), choice)
		c.Finished(time.Now(), choice)
		_, after := prefill("after", "rode-tegel")
		is.Equal(after, before)
	})
}
