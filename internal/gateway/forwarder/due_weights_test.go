package forwarder_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/peering/coordinator"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// dueRow is a number of prompts that are refused since the only engine is full and its
// weights are due for replacement.
type dueRow struct {
	Name    string `json:"name"`
	Tokens  int    `json:"tokens"`
	Refused int    `json:"refused"`
	// LeastSeconds and MostSeconds bound the Retry-After of the last refusal.
	LeastSeconds float64 `json:"least_s"`
	MostSeconds  float64 `json:"most_s"`
}

// TestRefusalsOfShortPromptsAreNotCounted guards against times to come back that rise to
// their maximum while short prompts wait for newer weights: the average of refusals is
// that of long prompts.
func TestRefusalsOfShortPromptsAreNotCounted(t *testing.T) {
	t.Parallel()
	var rows []dueRow
	scripter.Read(t, "testdata/due_weights.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { checkDueRow(t, row) })
		})
	}
}

func checkDueRow(t *testing.T, row dueRow) {
	is := is.New(t)
	f := newFixture(t, 1)
	is.NoErr(f.view.Apply(time.Now(), coordinator.State{
		Full: true, Names: []string{f.workers[0].ID}, Loads: []coordinator.UpstreamLoad{{InFlight: 4}},
	}, nil))
	f.directory.setWeights(informer.Weights{Version: 2, Since: time.Now().Add(-weightsApply / 2)})
	answers := make(chan answer, row.Refused)
	for n := range row.Refused {
		r := f.request(t, "once", fmt.Sprint("id-", n))
		r.Header.Set("Token-Usage", fmt.Sprintf("%d,10", row.Tokens))
		go func() { answers <- f.do(r) }()
		time.Sleep(5 * time.Millisecond)
	}
	var last answer
	for range row.Refused {
		last = <-answers
		is.Equal(last.status, http.StatusServiceUnavailable)
	}
	wait, err := strconv.ParseFloat(last.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(wait >= row.LeastSeconds)
	is.True(wait <= row.MostSeconds)
	is.Equal(f.arrivals(), 0)
}
