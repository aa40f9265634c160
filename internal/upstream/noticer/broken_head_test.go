package noticer_test

import (
	"io"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/testing/piper"
	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// brokenHeadRow is the response to a call, in which an upstream states something about itself.
type brokenHeadRow struct {
	Name     string `json:"name"`
	Response string `json:"response"`
	// Believed is true if what it states holds.
	Believed bool `json:"believed"`
}

// TestStatementsOfBrokenHeadAreDropped guards against an upstream that is taken for one that
// leaves, holds off requests or has a limit after a response whose head is malformed.
func TestStatementsOfBrokenHeadAreDropped(t *testing.T) {
	t.Parallel()
	var rows []brokenHeadRow
	scripter.Read(t, "testdata/broken_heads.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, row.check)
		})
	}
}

func (row brokenHeadRow) check(t *testing.T) {
	is := is.New(t)
	target := caller.Target{Name: "engine", Address: netip.MustParseAddrPort("10.0.0.1:80")}
	network := piper.New()
	defer network.Close()
	network.Serve(target.Address.String(), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, row.Response) // fails if the caller has closed the connection
		_ = conn.Close()
	}))
	p := newRouters(routerLimitRow{Routers: 1}, target)[0]
	calls := caller.New(caller.Config{Dial: network.Dial, Notices: p})
	defer calls.Close()
	call := caller.Call{Method: http.MethodGet, Path: "/", FirstByteDeadline: time.Now().Add(time.Second), IdleTimeout: time.Second}
	response, err := calls.Do(t.Context(), target, call)
	is.Equal(err == nil, row.Believed)
	if err == nil {
		response.Discard()
	}
	stated := p.LimitShare(target.Name) > 0 || !p.HeldUntil(target.Name).IsZero() || !p.IsOpen(target.Name)
	is.Equal(stated, row.Believed)
}
