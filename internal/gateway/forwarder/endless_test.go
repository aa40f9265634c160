package forwarder_test

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/platform/platformtest"
)

// endlessSlackBytes is the size of the buffers on the way to the client.
const endlessSlackBytes = 64 << 10

// TestResponsesWithoutEndAreCutOff guards against bytes of an upstream in trouble that are
// passed on until the time of the request is up.
func TestResponsesWithoutEndAreCutOff(t *testing.T) {
	t.Parallel()
	var rows []struct {
		Name     string                   `json:"name"`
		Route    string                   `json:"route"`
		Fault    platformtest.WorkerFault `json:"fault"`
		MaxBytes int                      `json:"max_bytes"`
	}
	scripter.Read(t, "testdata/endless.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, 1)
				f.workers[0].Faults.Add(row.Fault)
				a := f.do(f.request(t, row.Route, "id"))
				is.True(a.err != nil) // it does not look complete
				is.True(len(a.body) <= row.MaxBytes+endlessSlackBytes)
				is.Equal(f.do(f.request(t, row.Route, "next")).status, 200)
			})
		})
	}
}
