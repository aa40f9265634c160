package sequencer_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/streaming/parser"
	"gentianstep.example/gentianstep/internal/streaming/sequencer"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// eventsCase is a sequence of events and the expected outcome.
type eventsCase struct {
	Name   string         `json:"name"`
	Events []parser.Event `json:"events"`
	// ErrorKind is the kind of the error of the last event, empty for none.
	ErrorKind  sequencer.ErrorKind `json:"fault"`
	Delivered  int                 `json:"delivered"`
	Complete   bool                `json:"whole"`
	Duplicates int                 `json:"duplicates"`
}

func TestCheckEvent(t *testing.T) {
	t.Parallel()
	var cases []eventsCase
	scripter.Read(t, "testdata/events.json", &cases)
	for _, tc := range cases {
		t.Run(tc.Name, func(t *testing.T) {
			t.Parallel()
			runEventsCase(t, tc)
		})
	}
}

func runEventsCase(t *testing.T, tc eventsCase) {
	is := is.New(t)
	s := sequencer.New(sequencer.Config{RequestID: "r", MaxTokens: 2})
	delivered, complete := 0, false
	for i, event := range tc.Events {
		result, err := s.CheckEvent(event)
		if i < len(tc.Events)-1 || tc.ErrorKind == "" {
			is.NoErr(err)
		} else {
			var streamError *sequencer.StreamError
			is.True(errors.As(err, &streamError))
			is.Equal(streamError.Kind, tc.ErrorKind)
		}
		if result.Deliver {
			delivered++
			is.Equal(result.Number, uint64(delivered))
		}
		complete = complete || result.End
	}
	is.Equal(delivered, tc.Delivered)
	is.Equal(complete, tc.Complete)
	is.Equal(s.DuplicateChunks(), tc.Duplicates)
	is.Equal(s.DeliveredChunks(), uint64(tc.Delivered))
}
