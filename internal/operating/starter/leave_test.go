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
	// leaveTime is the longest time from a sign to the last new work. The
	// platform's list is read every 2.5 to 7.5 s by each of three controllers.
	leaveTime     = 3 * time.Second
	listLeaveTime = 9 * time.Second
	// streamsPerRouter is the number of requests that run side by side.
	streamsPerRouter = 4
	// watchTime is how long requests go on after that.
	watchTime = 3 * time.Second
)

// departure is the first sign that an engine leaves.
type departure struct {
	Name string `json:"name"`
	Sign string `json:"sign"`
}

// fixed sends streams to one router until its context ends.
type fixed struct {
	base   string
	mu     sync.Mutex
	whole  int
	failed []error
}

func (f *fixed) run(ctx context.Context) {
	client := newClient()
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		err := complete(context.WithoutCancel(ctx), client, f.base, longStream)
		f.mu.Lock()
		if err != nil {
			f.failed = append(f.failed, err)
		} else {
			f.whole++
		}
		f.mu.Unlock()
	}
}

func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	t.Parallel()
	var rows []departure
	scripter.Read(t, "testdata/leaves.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			row.play(t)
		})
	}
}

func (r departure) play(t *testing.T) {
	t.Helper()
	is := is.New(t)
	d := launcher.Deploy(t, launcher.Shape{VMs: 3, Engines: 3, Services: 1})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	loads := make([]*fixed, 0, len(d.VMs))
	var wg sync.WaitGroup
	for i := range d.VMs {
		l := &fixed{base: d.URL(i, "")}
		loads = append(loads, l)
		for range streamsPerRouter {
			wg.Go(func() { l.run(ctx) })
		}
	}
	leaver := d.Engines[0]
	launcher.Until(t, stopTimeout, "the engine gets work", func() bool { return chosen(d, leaver.Name) > 0 })
	limit := leaveTime
	if r.Sign == "platform_list" {
		limit = listLeaveTime
		putVMs(ctx, t, d.PlatformAddress, []storer.VM{{Name: "worker-0", Address: leaver.Address, State: storer.Leaving}})
	} else {
		post(ctx, t, "http://"+leaver.Address.String()+"/v1/control/leave")
	}
	<-time.After(limit)
	before := chosen(d, leaver.Name)
	<-time.After(watchTime)
	is.Equal(chosen(d, leaver.Name), before) // no new work after the time
	cancel()
	wg.Wait()
	for i, l := range loads {
		t.Logf("router %d: %d streams whole, %d failed", i, l.whole, len(l.failed))
		is.True(l.whole > 0)
		is.Equal(l.failed, nil) // no stream was cut or refused
	}
}

// chosen counts the routing decisions of all routers for one upstream.
func chosen(d *launcher.Deployment, upstream string) int {
	n := 0
	for _, vm := range d.VMs {
		n += strings.Count(vm.Router.Output(), `"chosen":"`+upstream+`"`)
	}
	return n
}

func post(ctx context.Context, t *testing.T, url string) {
	t.Helper()
	send(ctx, t, http.MethodPost, url, nil)
}

func putVMs(ctx context.Context, t *testing.T, platform netip.AddrPort, vms []storer.VM) {
	t.Helper()
	body, err := json.Marshal(vms)
	if err != nil {
		t.Fatal(err)
	}
	send(ctx, t, http.MethodPut, "http://"+platform.String()+storer.PathVMs, body)
}

func send(ctx context.Context, t *testing.T, method, url string, body []byte) {
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
