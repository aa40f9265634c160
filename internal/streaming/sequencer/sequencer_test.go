package sequencer_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/streaming/parser"
	"gentianstep.example/gentianstep/internal/streaming/sequencer"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

type eventsRow struct {
	Name   string         `json:"name"`
	Events []parser.Event `json:"events"`
	// Fault is the fault of the last event, empty for none.
	Fault      sequencer.FaultKind `json:"fault"`
	Delivered  int                 `json:"delivered"`
	Whole      bool                `json:"whole"`
	Duplicates int                 `json:"duplicates"`
}

func TestTake(t *testing.T) {
	t.Parallel()
	var rows []eventsRow
	scripter.Read(t, "testdata/events.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			runEventsRow(t, row)
		})
	}
}

func runEventsRow(t *testing.T, row eventsRow) {
	is := is.New(t)
	s := sequencer.New(sequencer.Config{RequestID: "r", MaxTokens: 2})
	delivered, whole := 0, false
	for i, event := range row.Events {
		step, err := s.Take(event)
		if i < len(row.Events)-1 || row.Fault == "" {
			is.NoErr(err)
		} else {
			var fault *sequencer.Fault
			is.True(errors.As(err, &fault))
			is.Equal(fault.Kind, row.Fault)
		}
		if step.Deliver {
			delivered++
			is.Equal(step.Number, uint64(delivered))
		}
		whole = whole || step.End
	}
	is.Equal(delivered, row.Delivered)
	is.Equal(whole, row.Whole)
	is.Equal(s.Duplicates(), row.Duplicates)
	is.Equal(s.Passed(), uint64(row.Delivered))
}
