package receiver_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
	"gentianstep.example/gentianstep/internal/testing/resetter"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// resetUploadBytes exceeds the socket buffers on the way to the upstream.
const resetUploadBytes = 256 << 10

// resetRow is a call of a plain service whose upstreams answer within its upload.
type resetRow struct {
	Name    string            `json:"name"`
	Method  string            `json:"method"`
	Path    string            `json:"path"`
	Answers []resetter.Answer `json:"answers"`
	// Status and Body are what the caller gets, or Kind is the kind of its error.
	Status int             `json:"status"`
	Body   string          `json:"body"`
	Kind   classifier.Kind `json:"kind"`
	// Requests is the number of calls that reach upstreams.
	Requests int `json:"requests"`
}

// TestResetWithinUploadIsNoWholeAnswer guards against a part of an answer without a length
// that callers get as a whole one since the write of the call got the reset of the connection.
func TestResetWithinUploadIsNoWholeAnswer(t *testing.T) {
	t.Parallel()
	var rows []resetRow
	scripter.Read(t, "testdata/resets.json", &rows)
	for _, row := range rows {
		for name, late := range map[string]bool{"write ends first": false, "read ends first": true} {
			t.Run(row.Name+", "+name, func(t *testing.T) {
				t.Parallel()
				row.check(t, late)
			})
		}
	}
}

func (row resetRow) check(t *testing.T, late bool) {
	is := is.New(t)
	u := resetter.Start(t, resetter.Config{Answers: row.Answers, IDHeader: encoder.HeaderRequestID, LateWrite: late})
	handler, calls := newHandler(t, newHolder(t, true), u.Dial, orderedChooser{more: scriptUpstreams - 1})
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.Close()
		calls.Close()
	})
	reply := exchange(t, row.Method, server.URL+"/v1/services/sample-desk"+row.Path, strings.Repeat("x", resetUploadBytes))
	is.NoErr(reply.err)
	is.Equal(reply.status, row.Status)
	is.Equal(u.Requests(), row.Requests)
	if row.Kind != "" {
		checkError(is, strings.TrimSpace(reply.body), row.Kind)
		return
	}
	is.Equal(reply.body, row.Body)
}
