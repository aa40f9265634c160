package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// brokenHeadRow is a response, sent to each attempt, whose head is malformed unless Sound is
// set. In it ID, LENGTH, BODY and CHUNKS stand for the ID of the request and the length of
// the body, the body and its chunks.
type brokenHeadRow struct {
	Name     string `json:"name"`
	Response string `json:"response"`
	Sound    bool   `json:"sound"`
	// Status is the status of a sound response, 0 for 200.
	Status int `json:"status"`
	// Held is true if the connection stays open behind the response.
	Held bool `json:"held"`
}

// brokenHeadRoute is how a request of a route ends if all its attempts fail.
type brokenHeadRoute struct {
	name, outcome string
	attempts      int64
}

var brokenHeadRoutes = []brokenHeadRoute{
	{"idempotent", "upstream_failed", 2},
	{"non_idempotent", "outcome_unknown", 1},
	{"stream", "outcome_unknown", 1},
	{"resumable", "upstream_failed", 2},
}

// TestResponseWithBrokenHeadIsRefused guards against a response that clients get although its
// head is malformed: with a body that is not the upstream's, since the line that states where
// it ends was not understood, or after statements that do not hold.
func TestResponseWithBrokenHeadIsRefused(t *testing.T) {
	t.Parallel()
	for _, file := range []string{"broken_heads.json", "broken_statuses.json"} {
		var rows []brokenHeadRow
		scripter.Read(t, "testdata/"+file, &rows)
		for _, row := range rows {
			for _, route := range brokenHeadRoutes {
				t.Run(route.name+", "+row.Name, func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) { row.check(t, route) })
				})
			}
		}
	}
}

func (row brokenHeadRow) check(t *testing.T, route brokenHeadRoute) {
	is := is.New(t)
	f := newFixture(t, 2)
	body := "whole"
	if route.name == "stream" || route.name == "resumable" {
		body = "id: 1\ndata: whole\n\n"
	}
	var attempts atomic.Int64
	for n := range f.workers {
		f.network.Host(workerAddress(n).String()).Handle(row.handler(body, &attempts))
	}
	a := f.do(f.request(t, route.name, "id-1"))
	is.NoErr(a.err)
	is.True(a.took < timeout) // it does not take the time of the route
	if row.Sound {
		if row.Status != 0 {
			is.Equal(a.status, row.Status)
			return
		}
		is.Equal(a.status, http.StatusOK)
		is.Equal(a.body, body)
		is.Equal(attempts.Load(), int64(1))
		return
	}
	is.Equal(a.status, http.StatusBadGateway)
	is.True(strings.HasPrefix(a.body, route.outcome))
	is.Equal(attempts.Load(), route.attempts)
	is.True(strings.Contains(f.log.String(), "malformed"))
	for n := range f.workers {
		u := f.entry(n)
		is.True(f.noticer.IsOpen(u)) // it is neither leaving nor held off
		_, _, limited := f.noticer.Limit(time.Now(), u)
		is.True(!limited)
		is.Equal(f.view.WeightsVersion(time.Now(), u, "m"), uint64(1))
	}
}

// handler sends the response of the row to each request.
func (row brokenHeadRow) handler(body string, attempts *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		attempts.Add(1)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		response := strings.NewReplacer("ID", r.Header.Get("Request-Id"), "LENGTH", strconv.Itoa(len(body)),
			"BODY", body, "CHUNKS", fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body)).Replace(row.Response)
		_, _ = io.WriteString(conn, response) // fails if the gateway has closed the connection
		if row.Held {
			_, _ = io.Copy(io.Discard, conn)
		}
		_ = conn.Close()
	}
}
