package chooser_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/serving/chooser"
	"gentianstep.example/gentianstep/internal/serving/dispatcher"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

// TestPinFollowsReadyEngines changes engines to the wanted version one by one. The
// share of prefix families pinned to it has to follow the share of ready engines,
// and never decrease.
func TestPinFollowsReadyEngines(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	c, err := chooser.New(chooser.Config{Region: "jhb-a", Log: logrus.NewEntry(log)})
	is.NoErr(err)
	model := checker.Model{Name: "tile-match", WeightsVersion: "w2", PreviousWeightsVersion: "w1"}
	b := &checker.Bundle{Models: []checker.Model{model}}
	const engines, families = 4, 200
	for i := range engines {
		b.Upstreams = append(b.Upstreams, checker.Upstream{Name: fmt.Sprint(i), Kind: checker.Engine, Region: "jhb-a"})
	}
	b.Policy.Selection.Name = "round_robin"
	c.SetBundle(b)
	pinned := func(family int) string {
		return c.Pin(dispatcher.Job{
			ID:      "r",
			Bundle:  b,
			Model:   model,
			Request: encoder.Request{Prompt: strings.Repeat(fmt.Sprintf("family %04d. ", family), 500)},
		}, nil)
	}
	previous := 0
	for ready := range engines + 1 {
		reports := make([]observer.Report, 0, engines)
		for i := range engines {
			version := "w1"
			if i < ready {
				version = "w2"
			}
			reports = append(reports, observer.Report{Upstream: fmt.Sprint(i), Incarnation: 1, At: time.Unix(int64(ready), 0), Models: []observer.LoadedModel{{Name: "tile-match", WeightsVersion: version}}})
		}
		c.RecordReports(reports)
		moved := 0
		for family := range families {
			if pinned(family) == "w2" {
				moved++
			}
		}
		is.True(moved >= previous)                          // no family returns to the previous version
		is.True(moved >= families*ready/engines-families/8) // at least the share of ready engines, less 1/8
		is.True(moved <= families*ready/engines+families/8) // at most the share of ready engines, plus 1/8
		previous = moved
	}
	is.Equal(previous, families) // every family has the wanted version
}
