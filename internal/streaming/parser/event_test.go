package parser_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/streaming/parser"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// eventCase is a stream and the expected result of reading its first event.
type eventCase struct {
	Name string `json:"name"`
	// The stream is Text, then Repeat copies of Line, then End.
	Text   string       `json:"text"`
	Line   string       `json:"line"`
	Repeat int          `json:"repeat"`
	End    string       `json:"end"`
	Event  parser.Event `json:"event"`
	// Error is the expected result of errorName.
	Error string `json:"error"`
}

func TestNext(t *testing.T) {
	t.Parallel()
	var cases []eventCase
	scripter.Read(t, "testdata/events.json", &cases)
	for _, tc := range cases {
		t.Run(tc.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			stream := tc.Text + strings.Repeat(tc.Line, tc.Repeat) + tc.End
			event, err := parser.NewReader(strings.NewReader(stream)).Next()
			is.Equal(errorName(err), tc.Error)
			is.Equal(event, tc.Event)
		})
	}
}

// errorName returns the name by which the cases refer to err, empty for nil.
func errorName(err error) string {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, io.EOF):
		return "eof"
	case errors.Is(err, io.ErrUnexpectedEOF):
		return "cut"
	case errors.Is(err, parser.ErrTooLarge):
		return "too_large"
	}
	return "invalid"
}
