package announcer_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/membership/announcer"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// maxErrorBytes bounds an error, which is logged.
const maxErrorBytes = 1024

func TestDecodeVM(t *testing.T) {
	t.Parallel()
	var rows []struct {
		Name string `json:"name"`
		// Value is repeated Repeat times if that is above 0. Fill is a character with which
		// NUMBER in it is filled.
		Value   string `json:"value"`
		Repeat  int    `json:"repeat"`
		Fill    string `json:"fill"`
		Invalid bool   `json:"invalid"`
	}
	scripter.Read(t, "testdata/vms.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			value := strings.Repeat(row.Value, max(row.Repeat, 1))
			if row.Fill != "" {
				value = strings.Replace(value, "NUMBER", strings.Repeat(row.Fill, storer.MaxValueBytes-len(value)), 1)
			}
			vm, err := announcer.DecodeVM([]byte(value))
			is.Equal(err != nil, row.Invalid)
			if err != nil {
				is.True(len(err.Error()) < maxErrorBytes)
				return
			}
			is.Equal(vm.Node, "n1")
		})
	}
}
