package caller_test

import (
	"io"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// brokenRow is a response behind which the upstream closes the connection.
type brokenRow struct {
	Name     string `json:"name"`
	Response string `json:"response"`
	// Reason is that for which it is not taken, empty if it is, or if it is of another request.
	Reason caller.BrokenReason `json:"reason"`
}

// TestBrokenResponsesAreCounted checks the reason for which each broken response counts once.
func TestBrokenResponsesAreCounted(t *testing.T) {
	t.Parallel()
	var rows []brokenRow
	scripter.Read(t, "testdata/broken.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, row.check)
		})
	}
}

func (row brokenRow) check(t *testing.T) {
	is := is.New(t)
	s := &server{scripts: []script{{ReadBytes: -1, Response: row.Response}}}
	var broken []caller.BrokenReason
	c := caller.New(caller.Config{Dial: s.dial, OnBroken: func(reason caller.BrokenReason) { broken = append(broken, reason) }})
	defer synctest.Wait()
	defer c.Close()
	target := caller.Target{Name: "up", Address: netip.MustParseAddrPort("10.0.0.1:80")}
	response, err := c.Do(t.Context(), target, caller.Call{
		RequestID: "id", Method: http.MethodPost, Path: "/", FirstByteDeadline: time.Now().Add(time.Second), IdleTimeout: time.Second,
	})
	if err == nil {
		defer response.Discard()
		_, err = io.ReadAll(response)
	}
	if err == nil {
		err = response.CheckBody()
	}
	if row.Reason == "" {
		is.Equal(len(broken), 0)
		return
	}
	is.True(err != nil)
	is.Equal(broken, []caller.BrokenReason{row.Reason})
}
