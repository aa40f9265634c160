package reporter_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/standin/reporter"
)

func TestTableAndPlots(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	file, err := os.Open("testdata/results.jsonl")
	is.NoErr(err)
	defer func() { _ = file.Close() }()
	results, err := reporter.Read(file)
	is.NoErr(err)
	is.Equal(len(results), 2)
	var page strings.Builder
	is.NoErr(reporter.Table(&page, results))
	is.NoErr(reporter.Shares(&page, results))
	for _, part := range []string{
		"| vloerkuns | steady | `least_loaded` | 0.80 | 10 | 9 | 1 | 0 | 0 | 0.600 | 0.750 | 20 | 5 | 1 ms | 2 ms | 3 ms | - |",
		"served of asked by organisation: 1.00 0.80",
	} {
		is.True(strings.Contains(page.String(), part))
	}
	path := filepath.Join(t.TempDir(), "plot.png")
	is.NoErr(reporter.HitRates(path, results))
	is.NoErr(reporter.FirstTokens(path, results))
	info, err := os.Stat(path)
	is.NoErr(err)
	is.True(info.Size() > 0)
}

func TestReadErrorNamesInvalidResult(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	_, err := reporter.Read(strings.NewReader("{}\nnot a result\n"))
	is.True(err != nil && strings.Contains(err.Error(), "result 2"))
}
