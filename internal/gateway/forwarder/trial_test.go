package forwarder_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/routing/quarantiner"
	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/platform/platformtest"
)

// trialRow is a request that is sent on trial, and the fault of its upstream.
type trialRow struct {
	Name  string                   `json:"name"`
	Fault platformtest.WorkerFault `json:"fault"`
	// NextStatus is the status of the next request.
	NextStatus int `json:"next_status"`
}

// TestTrialsNeedARun guards against trials that are used up by requests which no upstream
// has run.
func TestTrialsNeedARun(t *testing.T) {
	t.Parallel()
	var rows []trialRow
	scripter.Read(t, "testdata/trials.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, 2)
				faults := &platformtest.Faults{}
				faults.Add(row.Fault)
				for _, w := range f.workers {
					w.Faults = faults
				}
				f.isolator.Apply(true, []quarantiner.Row{{
					Fingerprint: quarantiner.NewPart("m", "deadly"), State: quarantiner.Quarantined, FirstAt: time.Now(), LastAt: time.Now(),
					TrialAt: time.Now().Add(time.Minute), Trials: 1, TrialVM: "vm", TrialUntil: time.Now().Add(2 * time.Second),
				}})
				for n, want := range []int{0, row.NextStatus} {
					r := f.request(t, "once", "id")
					r.Header.Set("Prompt-Prefix", promptPrefix([]string{"deadly", "own-%"}, n))
					if a := f.do(r); n > 0 {
						is.Equal(a.status, want)
					}
				}
			})
		})
	}
}
