package starter

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/placement/orderer"
	"gentianstep.example/gentianstep/internal/placement/planner"
	"gentianstep.example/gentianstep/internal/placement/upgrader"
	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/platform"
)

// orderConnectionRow is a second order to an engine. On the connection of the first one it
// gets the response to that once more.
type orderConnectionRow struct {
	Name    string `json:"name"`
	Gateway bool   `json:"gateway"`
	// Earlier and Answer are the statuses of the responses to the orders.
	Earlier  int  `json:"earlier"`
	Answer   int  `json:"answer"`
	Accepted bool `json:"accepted"`
}

// TestOrdersShareNoConnection guards against an earlier response as that to an order, which
// the clients of controllers and gateways cannot tell from it.
func TestOrdersShareNoConnection(t *testing.T) {
	t.Parallel()
	var rows []orderConnectionRow
	scripter.Read(t, "testdata/order_connections.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			engine := httptest.NewServer(earlierAnswers(row))
			defer engine.Close()
			send := orderSender(t, row.Gateway, netip.MustParseAddrPort(engine.Listener.Addr().String()))
			is.Equal(send(), row.Earlier == http.StatusAccepted)
			is.Equal(send(), row.Accepted)
		})
	}
}

// earlierAnswers returns an engine that answers two orders. A connection is known by the
// address of its client.
func earlierAnswers(row orderConnectionRow) http.HandlerFunc {
	var first string
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if first == "" {
			first = r.RemoteAddr
		}
		if r.RemoteAddr == first {
			w.WriteHeader(row.Earlier)
			return
		}
		w.WriteHeader(row.Answer)
	}
}

// orderSender returns a function that sends an order and reports whether it was accepted.
func orderSender(t *testing.T, fromGateway bool, address netip.AddrPort) func() bool {
	t.Helper()
	if fromGateway {
		g := &gateway{dial: newDialer().DialContext}
		client := platform.EngineClient{HTTPClient: g.newClient(), OrderClient: g.newUnpooledClient()}
		return func() bool {
			outcome, _ := client.Order(t.Context(), &registrar.Upstream{ID: "w1", Address: address}, upgrader.Order{Model: "m", Version: 1})
			return outcome == planner.Accepted
		}
	}
	processes := newProcesses(meter.New(), func(time.Time, string) {}, newDiscardLog())
	o := orderer.New(orderer.Config{Client: newOrderClient(nil, processes)})
	return func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), operatorShutdownTimeout)
		defer cancel()
		outcome, _ := o.Send(ctx, address, orderer.Message{FencingNumber: 1, Deadline: time.Now().Add(operatorShutdownTimeout), Action: planner.LoadModel})
		return outcome == planner.Accepted
	}
}
