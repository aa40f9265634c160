package resumer_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentianstep.example/gentianstep/internal/streaming/resumer"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

type decideRow struct {
	Name     string           `json:"name"`
	Progress resumer.Progress `json:"progress"`
	Break    resumer.Break    `json:"break"`
	Action   resumer.Action   `json:"action"`
	Blame    bool             `json:"blame"`
}

func TestDecide(t *testing.T) {
	t.Parallel()
	var rows []decideRow
	scripter.Read(t, "testdata/decide.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			got := resumer.Decide(row.Progress, row.Break)
			is.Equal(got.Action, row.Action)
			is.Equal(got.Blame, row.Blame)
		})
	}
}

// TestDecideEnds checks that every chain of failures comes to an end and that
// nothing is sent anew once the caller has a part.
func TestDecideEnds(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		p := resumer.Progress{
			MaxResumes:        rapid.IntRange(0, 4).Draw(t, "max_resumes"),
			MaxAttempts:       rapid.IntRange(1, 4).Draw(t, "max_attempts"),
			ContinueElsewhere: rapid.Bool().Draw(t, "continue_elsewhere"),
			Attempts:          1,
		}
		for range p.MaxResumes + p.MaxAttempts {
			b := rapid.Make[resumer.Break]().Draw(t, "break")
			p.Passed += rapid.Uint64Range(0, 2).Draw(t, "passed")
			switch d := resumer.Decide(p, b); d.Action {
			case resumer.GiveUp:
				return
			case resumer.Resume:
				p.Resumes++
			case resumer.Send, resumer.Continue:
				if (d.Action == resumer.Send) != (p.Passed == 0) {
					t.Fatalf("%s after %d chunks", d.Action, p.Passed)
				}
				p.Attempts++
			}
		}
		if p.Resumes > p.MaxResumes || p.Attempts > p.MaxAttempts {
			t.Fatalf("used %d resumes and %d attempts", p.Resumes, p.Attempts)
		}
	})
}
