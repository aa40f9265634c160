package comparer

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/testing/scripter"
)

type row struct {
	Name   string          `json:"name"`
	Before json.RawMessage `json:"before"`
	After  json.RawMessage `json:"after"`
	Lines  []string        `json:"lines"`
}

func TestCompare(t *testing.T) {
	t.Parallel()
	var rows []row
	scripter.Read(t, "testdata/compare.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			changes, err := Compare(row.Before, row.After)
			is.NoErr(err)
			lines := []string{}
			for _, c := range changes {
				lines = append(lines, c.String())
			}
			is.Equal(lines, row.Lines)
		})
	}
}
