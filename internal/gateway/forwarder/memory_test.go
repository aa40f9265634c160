package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/gateway/forwarder"
	"gentianstep.example/gentianstep/internal/routing/matcher"
	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/platform/platformtest"
)

// memoryRow is one path on which requests end.
type memoryRow struct {
	Name  string `json:"name"`
	Route string `json:"route"`
	// Faults are those of the upstreams, in order.
	Faults []platformtest.WorkerFault `json:"faults"`
	// AnnouncedKB is the announced length of the body, 0 for chunks; SentKB of it are sent.
	AnnouncedKB int `json:"announced_kb"`
	SentKB      int `json:"sent_kb"`
	// Leaves is true if the client closes its connection after that.
	Leaves bool `json:"leaves"`
	// StopsMS is when the VM stops, from the request on; 0 means never.
	StopsMS int `json:"stops_ms"`
	// HeldKB is the memory that is held otherwise, by a request that has been read.
	HeldKB int64 `json:"held_kb"`
	// NeededKB is the memory that another request needs 1.1 s later.
	NeededKB int64 `json:"needed_kb"`
	// Status is 0 if there is no response.
	Status int `json:"status"`
	// Arrivals counts the requests that reach a worker.
	Arrivals int `json:"arrivals"`
}

// TestRequestsReleaseTheirMemory guards against paths on which the memory of a request stays
// reserved, and against a refusal of a request that was sent.
func TestRequestsReleaseTheirMemory(t *testing.T) {
	t.Parallel()
	var rows []memoryRow
	scripter.Read(t, "testdata/memory.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { row.check(t) })
		})
	}
}

func (row memoryRow) check(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2)
	configuration := testConfiguration()
	configuration.Limits.BodyBytes = 256 << 10
	for n := range configuration.Routes {
		configuration.Routes[n].Timeout = 3 * time.Second
	}
	f.directory.configuration = matcher.New(configuration)
	f.workers[0].Faults.Add(row.Faults...)
	f.workers[1].Faults = f.workers[0].Faults
	hold := func(kb int64) {
		for ; kb > 0; kb -= 64 { // buffers of this size may use the whole budget
			is.NoErr(f.memory.OpenBuffer().Reserve(min(kb, 64) << 10))
		}
	}
	hold(row.HeldKB)
	conn, err := f.network.Dial(t.Context(), "tcp", gatewayAddress)
	is.NoErr(err)
	go row.send(conn)
	if row.StopsMS > 0 {
		stopAt := time.Now().Add(time.Duration(row.StopsMS) * time.Millisecond)
		f.forwarder.Stop(forwarder.Shutdown{AcceptUntil: stopAt, AnswerBy: stopAt, UnreachableAt: stopAt})
	}
	if row.NeededKB > 0 {
		time.Sleep(1100 * time.Millisecond)
		hold(row.NeededKB)
	}
	status := 0
	if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		status = response.StatusCode
		_, _ = io.Copy(io.Discard, response.Body) // may break off
		_ = response.Body.Close()
		is.True(status != http.StatusServiceUnavailable || response.Header.Get("Retry-After") != "" || row.StopsMS > 0)
	}
	_ = conn.Close()
	time.Sleep(5 * time.Second) // requests end with their deadline at the latest
	is.Equal(f.arrivals(), row.Arrivals)
	is.Equal(status, row.Status)
	is.Equal(f.memory.Held(), (row.HeldKB+row.NeededKB)<<10)
}

func (row memoryRow) send(conn net.Conn) {
	head := "POST /" + row.Route + "/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: id\r\nCredential: k1\r\n"
	if row.Route == "stream" || row.Route == "resumable" {
		head += "Model: m\r\nToken-Usage: 100,10\r\n"
	}
	body := strings.Repeat("x", row.SentKB<<10)
	if row.AnnouncedKB > 0 {
		_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, row.AnnouncedKB<<10, body)
	} else {
		_, _ = fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	}
	if row.Leaves {
		time.Sleep(100 * time.Millisecond)
		_ = conn.Close()
	}
}
