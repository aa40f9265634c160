package starter

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/operating/explainer"
	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/placement/orderer"
	"gentianstep.example/gentianstep/internal/placement/planner"
	"gentianstep.example/gentianstep/internal/platform/dialer"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/routing/withholder"
	"gentianstep.example/gentianstep/internal/testing/resetter"
	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/internal/upstream/noticer"
	"gentianstep.example/gentianstep/internal/upstream/screener"
	"gentianstep.example/gentianstep/platform"
)

// brokenAnswers are the answers to the calls that VMs send on their own account, and what
// makes their heads malformed.
type brokenAnswers struct {
	Calls []struct {
		Call   string `json:"call"`
		Status int    `json:"status"`
		Body   string `json:"body"`
	} `json:"calls"`
	Faults []answerFault `json:"faults"`
}

// ownUploadBytes exceeds the socket buffers on the way to the store.
const ownUploadBytes = 64 << 10

// answerFault is a status line or a line of a head that is malformed; empty for none.
type answerFault struct {
	Name   string `json:"name"`
	Status string `json:"status"`
	Line   string `json:"line"`
}

// ownCalls holds the calls that endlessCalls does not.
var ownCalls = map[string]func(ctx context.Context, gateway, controller *http.Client, address netip.AddrPort) error{
	"health check": func(ctx context.Context, gateway, _ *http.Client, address netip.AddrPort) error {
		n := noticer.New(noticer.Config{Bounds: withholder.Config{Drain: time.Second, MaxHoldOff: time.Minute}, Meter: meter.New(), Log: newDiscardLog()})
		checks := platform.HealthClient{HTTPClient: gateway, Noticer: n, Path: func(string) string { return "/health" }}
		_, err := checks.Check(ctx, upstreamAt(address))
		return err
	},
	"controller's order": func(ctx context.Context, _, controller *http.Client, address netip.AddrPort) error {
		_, err := orderer.New(orderer.Config{Client: controller}).Send(ctx, address, orderer.Message{FencingNumber: 1, Deadline: time.Now().Add(endlessTimeout), Action: planner.LoadModel})
		return err
	},
	"decisions": func(ctx context.Context, _, operator *http.Client, address netip.AddrPort) error {
		_, err := explainer.FetchDecisions(ctx, operator, address, "id")
		return err
	},
}

// TestOwnCallsRefuseBrokenHeads guards against the belief in an answer to a call of a VM's own
// whose head is malformed.
func TestOwnCallsRefuseBrokenHeads(t *testing.T) {
	t.Parallel()
	var rows brokenAnswers
	scripter.Read(t, "testdata/broken_answers.json", &rows)
	for _, row := range rows.Calls {
		for _, fault := range append(rows.Faults, answerFault{Name: "sound"}) {
			t.Run(row.Call+", "+fault.Name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				call := endlessCalls[row.Call]
				if call == nil {
					call = ownCalls[row.Call]
				}
				dial := rawServer(fault.answer(row.Status, row.Body))
				ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
				defer cancel()
				err := call(ctx, (&gateway{dial: dial}).newClient(), controllerClient(dial), netip.MustParseAddrPort("10.0.0.1:80"))
				is.NoErr(ctx.Err())
				is.Equal(err == nil, fault.Name == "sound")
			})
		}
	}
}

// answer returns the text of an answer with the fault.
func (f answerFault) answer(status int, body string) string {
	if f.Status == "" {
		f.Status = fmt.Sprint(status)
	}
	if f.Line != "" {
		f.Line += "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %s OK\r\n%sContent-Length: %d\r\n\r\n%s", f.Status, f.Line, len(body), body)
}

// controllerClient returns a client as controllers and operators have it, with a dialer.
func controllerClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	base := newBaseTransport(nil)
	base.DialContext = dial
	return &http.Client{Transport: screener.NewTransport(base)}
}

// rawServer returns a dialer of connections whose server answers one request with a text.
func rawServer(answer string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			if r, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
			}
			_, _ = io.WriteString(server, answer) // fails if the client has closed the connection
			_ = server.Close()
		}()
		return client, nil
	}
}

// TestOwnCallsSeeResetWithinUpload guards against a part of an answer to a call of a VM's own
// that looks whole since the write of the call got the reset of the connection.
func TestOwnCallsSeeResetWithinUpload(t *testing.T) {
	t.Parallel()
	const answer = "HTTP/1.1 200 OK\r\n\r\n{\"revision\": 12}"
	for _, end := range []resetter.End{resetter.Reset, resetter.Close} {
		for name, late := range map[string]bool{"write ends first": false, "read ends first": true} {
			for _, fromGateway := range []bool{true, false} {
				t.Run(fmt.Sprint(end, ", ", name, ", gateway: ", fromGateway), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					u := resetter.Start(t, resetter.Config{Answers: []resetter.Answer{{Response: answer, End: end}}, LateWrite: late})
					address := netip.MustParseAddrPort(u.Address())
					var store storer.Store = platform.NewClient(platform.ClientConfig{Address: address, HTTPClient: (&gateway{dial: u.Dial}).newClient()})
					if !fromGateway {
						store = dialer.New(dialer.Config{Address: address, Client: controllerClient(u.Dial)})
					}
					_, err := store.Put(t.Context(), "k", make([]byte, ownUploadBytes), storer.PutOptions{})
					is.Equal(err == nil, end == resetter.Close)
				})
			}
		}
	}
}

// TestBrokenAnswerOfUpstreamIsMetered checks that the router's caller of upstreams counts a
// broken response.
func TestBrokenAnswerOfUpstreamIsMetered(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 0\r\n\r\n") // fails if the caller has left
		_ = conn.Close()
	}))
	defer upstream.Close()
	m := meter.New()
	calls := newCaller(nil, nil, m)
	defer calls.Close()
	is.True(!callSucceeds(t, calls, netip.MustParseAddrPort(upstream.Listener.Addr().String())))
	var text strings.Builder
	is.NoErr(m.Write(&text))
	is.True(strings.Contains(text.String(), string(meter.BrokenResponses)+`{reason="head"} 1`))
}
