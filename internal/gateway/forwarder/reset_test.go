package forwarder_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/routing/matcher"
	"gentianstep.example/gentianstep/internal/testing/resetter"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

const (
	// resetTimeout bounds a request in real time.
	resetTimeout = 30 * time.Second
	// resetUploadBytes exceeds the socket buffers on the way to the upstream.
	resetUploadBytes = 256 << 10
)

// resetRow is a request whose upstreams answer within its upload.
type resetRow struct {
	Name    string            `json:"name"`
	Route   string            `json:"route"`
	Answers []resetter.Answer `json:"answers"`
	// SmallUpload is true if the request fits the socket buffers.
	SmallUpload bool `json:"small_upload"`
	// Status and Body are what the client gets, Outcome is the begin of the body of an error,
	// and Broken is true if the response does not look complete.
	Status  int    `json:"status"`
	Body    string `json:"body"`
	Outcome string `json:"outcome"`
	Broken  bool   `json:"broken"`
	// Requests is the number of those that reach upstreams.
	Requests int `json:"requests"`
	// Reset is true if the log tells of the reset.
	Reset bool `json:"reset"`
}

// TestResetWithinUploadIsNoWholeResponse guards against a part of a response without a length
// that clients get as a whole one since the write of the request got the reset of the
// connection. Resets need sockets.
func TestResetWithinUploadIsNoWholeResponse(t *testing.T) {
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
	f := newFixture(t, 2)
	cfg := testConfiguration()
	cfg.Limits.BodyBytes = resetUploadBytes
	for i := range cfg.Routes {
		cfg.Routes[i].Timeout, cfg.Routes[i].TargetLatency = resetTimeout, resetTimeout
	}
	f.directory.configuration = matcher.New(cfg)
	u := resetter.Start(t, resetter.Config{Answers: row.Answers, IDHeader: "Request-Id", LateWrite: late})
	f.upstreams = u.Dial
	upload := make([]byte, resetUploadBytes)
	if row.SmallUpload {
		upload = upload[:1]
	}
	r := f.request(t, row.Route, "id-1")
	r.Method, r.ContentLength, r.Body = http.MethodPost, int64(len(upload)), io.NopCloser(bytes.NewReader(upload))
	r.Header.Set("Deadline-Ms", "30000")
	a := f.do(r)
	is.Equal(a.status, row.Status)
	is.Equal(a.err != nil, row.Broken)
	is.True(a.body == row.Body || row.Outcome != "" && strings.HasPrefix(a.body, row.Outcome))
	is.Equal(u.Requests(), row.Requests)
	is.Equal(strings.Contains(f.log.String(), "connection reset by peer"), row.Reset)
}
