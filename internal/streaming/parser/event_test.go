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

// eventRow is a stream and what its first event is read as.
type eventRow struct {
	Name string `json:"name"`
	// Text is the stream, with Line repeated and End after it.
	Text   string       `json:"text"`
	Line   string       `json:"line"`
	Repeat int          `json:"repeat"`
	End    string       `json:"end"`
	Event  parser.Event `json:"event"`
	// Error is eof, cut, too_large or invalid, empty for a whole event.
	Error string `json:"error"`
}

func TestNext(t *testing.T) {
	t.Parallel()
	var rows []eventRow
	scripter.Read(t, "testdata/events.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			text := row.Text + strings.Repeat(row.Line, row.Repeat) + row.End
			event, err := parser.NewReader(strings.NewReader(text)).Next()
			is.Equal(errorName(err), row.Error)
			is.Equal(event, row.Event)
		})
	}
}

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
