package resumer_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentianstep.example/gentianstep/internal/streaming/resumer"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// decideCase is a failed exchange and the expected decision.
type decideCase struct {
	Name     string           `json:"name"`
	Progress resumer.Progress `json:"progress"`
	Failure  resumer.Failure  `json:"break"`
	Action   resumer.Action   `json:"action"`
	AtFault  bool             `json:"blame"`
}

func TestDecide(t *testing.T) {
	t.Parallel()
	var cases []decideCase
	scripter.Read(t, "testdata/decide.json", &cases)
	for _, tc := range cases {
		t.Run(tc.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			got := resumer.Decide(tc.Progress, tc.Failure)
			is.Equal(got.Action, tc.Action)
			is.Equal(got.UpstreamAtFault, tc.AtFault)
		})
	}
}

// TestDecideTerminates checks that any series of failures ends with GiveUp within
// the limits, and that the request is not sent again after a chunk was delivered.
func TestDecideTerminates(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		p := resumer.Progress{
			MaxResumes:        rapid.IntRange(0, 4).Draw(t, "max_resumes"),
			MaxAttempts:       rapid.IntRange(1, 4).Draw(t, "max_attempts"),
			ContinueElsewhere: rapid.Bool().Draw(t, "continue_elsewhere"),
			Attempts:          1,
		}
		for range p.MaxResumes + p.MaxAttempts {
			f := rapid.Make[resumer.Failure]().Draw(t, "break")
			p.DeliveredChunks += rapid.Uint64Range(0, 2).Draw(t, "passed")
			switch d := resumer.Decide(p, f); d.Action {
			case resumer.GiveUp:
				return
			case resumer.Resume:
				p.Resumes++
			case resumer.Send, resumer.Continue:
				if (d.Action == resumer.Send) != (p.DeliveredChunks == 0) {
					t.Fatalf("got action %s after %d delivered chunks", d.Action, p.DeliveredChunks)
				}
				p.Attempts++
			}
		}
		if p.Resumes > p.MaxResumes || p.Attempts > p.MaxAttempts {
			t.Fatalf("got %d resumes and %d attempts, over the limits", p.Resumes, p.Attempts)
		}
	})
}
