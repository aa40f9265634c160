package receiver_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// serviceEndRow is a call of a plain service whose upstreams answer as scripted.
type serviceEndRow struct {
	Name    string           `json:"name"`
	Method  string           `json:"method"`
	Path    string           `json:"path"`
	Answers []scriptedAnswer `json:"answers"`
	// Status and Body are what the caller gets, or Kind is the kind of its error.
	Status int             `json:"status"`
	Body   string          `json:"body"`
	Kind   classifier.Kind `json:"kind"`
}

// TestServiceAnswersEndAsTheirUpstreamsEndThem checks that a caller of a plain service gets
// the whole answer and nothing else, or an error.
func TestServiceAnswersEndAsTheirUpstreamsEndThem(t *testing.T) {
	t.Parallel()
	var rows []serviceEndRow
	scripter.Read(t, "testdata/service_ends.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			url, lines := serveScript(t, &script{answers: row.Answers})
			reply := exchange(t, row.Method, url+"/v1/services/sample-desk"+row.Path, "")
			is.NoErr(reply.err)
			is.Equal(reply.status, row.Status)
			is.Equal(strings.Count(lines.String(), "superfluous"), 0)
			if row.Kind != "" {
				checkError(is, strings.TrimSpace(reply.body), row.Kind)
				return
			}
			is.Equal(reply.body, row.Body)
		})
	}
}
