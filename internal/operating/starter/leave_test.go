package starter_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/testing/launcher"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

const (
	// leaveLimit limits the time from the engine's own signal to its last new
	// request. listLeaveLimit is the same for the platform's list, which each of the
	// three controllers reads every 2.5 to 7.5 s.
	leaveLimit     = 3 * time.Second
	listLeaveLimit = 9 * time.Second
	// streamsPerRouter is the number of concurrent streams.
	streamsPerRouter = 4
	// observationTime is how long the load continues after that limit.
	observationTime = 3 * time.Second
)

// departureCase is the signal that first shows that an engine is leaving.
type departureCase struct {
	Name string `json:"name"`
	// Sign is own_report or platform_list.
	Sign string `json:"sign"`
}

// routerLoad sends streams to one router until its context is cancelled.
type routerLoad struct {
	base      string
	mu        sync.Mutex
	completed int
	failed    []error
}

func (f *routerLoad) run(ctx context.Context) {
	client := newClient()
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		err := sendCompletion(context.WithoutCancel(ctx), client, f.base, longStream)
		f.mu.Lock()
		if err != nil {
			f.failed = append(f.failed, err)
		} else {
			f.completed++
		}
		f.mu.Unlock()
	}
}

func TestLeavingEngineReceivesNoNewRequests(t *testing.T) {
	t.Parallel()
	var rows []departureCase
	scripter.Read(t, "testdata/leaves.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			row.run(t)
		})
	}
}

func (r departureCase) run(t *testing.T) {
	t.Helper()
	is := is.New(t)
	d := launcher.Deploy(t, launcher.Shape{VMs: 3, Engines: 3, Services: 1})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	loads := make([]*routerLoad, 0, len(d.VMs))
	var wg sync.WaitGroup
	for i := range d.VMs {
		l := &routerLoad{base: d.URL(i, "")}
		loads = append(loads, l)
		for range streamsPerRouter {
			wg.Go(func() { l.run(ctx) })
		}
	}
	leavingEngine := d.Engines[0]
	launcher.Until(t, stopTimeout, "engine receives requests", func() bool { return countDecisions(d, leavingEngine.Name) > 0 })
	limit := leaveLimit
	if r.Sign == "platform_list" {
		limit = listLeaveLimit
		putVMs(ctx, t, d.PlatformAddress, []storer.VM{{Name: "worker-0", Address: leavingEngine.Address, State: storer.Leaving}})
	} else {
		post(ctx, t, "http://"+leavingEngine.Address.String()+"/v1/control/leave")
	}
	<-time.After(limit)
	decisions := countDecisions(d, leavingEngine.Name)
	<-time.After(observationTime)
	is.Equal(countDecisions(d, leavingEngine.Name), decisions) // the engine received no new request after the limit
	cancel()
	wg.Wait()
	for i, l := range loads {
		t.Logf("router %d: %d streams completed, %d failed", i, l.completed, len(l.failed))
		is.True(l.completed > 0)
		is.Equal(l.failed, nil) // every stream completed
	}
}

// countDecisions returns how often all routers have selected an upstream,
// according to their logs.
func countDecisions(d *launcher.Deployment, upstream string) int {
	n := 0
	for _, vm := range d.VMs {
		n += strings.Count(vm.Router.Output(), `"chosen":"`+upstream+`"`)
	}
	return n
}

func post(ctx context.Context, t *testing.T, url string) {
	t.Helper()
	doRequest(ctx, t, http.MethodPost, url, nil)
}

func putVMs(ctx context.Context, t *testing.T, platform netip.AddrPort, vms []storer.VM) {
	t.Helper()
	body, err := json.Marshal(vms)
	if err != nil {
		t.Fatal(err)
	}
	doRequest(ctx, t, http.MethodPut, "http://"+platform.String()+storer.PathVMs, body)
}

func doRequest(ctx context.Context, t *testing.T, method, url string, body []byte) {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		t.Fatalf("%s: status %d", url, response.StatusCode)
	}
}
