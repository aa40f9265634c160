package comparer

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/matryer/is"
)

type row struct {
	Name   string          `json:"name"`
	Before json.RawMessage `json:"before"`
	After  json.RawMessage `json:"after"`
	Lines  []string        `json:"lines"`
}

func TestCompare(t *testing.T) {
	t.Parallel()
	data, err := os.ReadFile("testdata/compare.json")
	if err != nil {
		t.Fatal(err)
	}
	var rows []row
	if err := json.Unmarshal(data, &rows); err != nil {
		t.Fatal(err)
	}
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
