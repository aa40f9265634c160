package starter_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/testing/launcher"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

const (
	// noticeInterval is how late the balancer sees that a router is not ready.
	noticeInterval = 700 * time.Millisecond
	testDrainDelay = 2 * time.Second
	stopTimeout    = 30 * time.Second
	// longStream is the tokens of a stream that takes about a second.
	longStream = 100
)

// stops is a load under which the routers stop in turn.
type stops struct {
	Name    string `json:"name"`
	Callers int    `json:"callers"`
	// Tokens is the length of each stream.
	Tokens int `json:"tokens"`
	// Controllers stop together with the routers of their VMs.
	Controllers bool `json:"controllers"`
}

// balancer hands out the routers that were ready when it last looked.
type balancer struct {
	d *launcher.Deployment

	mu    sync.Mutex
	ready []string
	next  int
}

func (b *balancer) run(ctx context.Context) {
	ticker := time.NewTicker(noticeInterval)
	defer ticker.Stop()
	for {
		b.look(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (b *balancer) look(ctx context.Context) {
	var ready []string
	for i, vm := range b.d.VMs {
		if launcher.Answers(ctx, "http://"+vm.Settings.Router.OperatorAddress.String()+"/ready") {
			ready = append(ready, b.d.URL(i, ""))
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	return b.ready[b.next%len(b.ready)]
}

func (b *balancer) sees(base string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, ready := range b.ready {
		if ready == base {
			return true
		}
	}
	return false
}

// load sends streams through a balancer until its context ends.
type load struct {
	b      *balancer
	tokens int

	mu     sync.Mutex
	whole  int
	failed []error
}

func (l *load) run(ctx context.Context) {
	client := newClient()
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		err := complete(context.WithoutCancel(ctx), client, l.b.pick(), l.tokens)
		l.mu.Lock()
		if err != nil {
			l.failed = append(l.failed, err)
		} else {
			l.whole++
		}
		l.mu.Unlock()
	}
}

func TestPlannedStopCutsNoRequest(t *testing.T) {
	t.Parallel()
	var rows []stops
	scripter.Read(t, "testdata/stops.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			row.play(t)
		})
	}
}

func (s stops) play(t *testing.T) {
	t.Helper()
	busy(t)
	is := is.New(t)
	d := launcher.Deploy(t, launcher.Shape{
		VMs:     3,
		Engines: 3, Services: 1,
		Settings: func(_ int, s *configurer.Settings) {
			s.Router.DrainDelay = checker.Duration(testDrainDelay)
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	b := &balancer{d: d}
	b.look(ctx)
	l := &load{b: b, tokens: s.Tokens}
	var wg sync.WaitGroup
	wg.Go(func() { b.run(ctx) })
	for range s.Callers {
		wg.Go(func() { l.run(ctx) })
	}
	for i := range d.VMs {
		if s.Controllers {
			d.VMs[i].Controller.Terminate()
		}
		stopRouter(t, d, i)
		if s.Controllers {
			<-d.VMs[i].Controller.Ended()
			is.NoErr(d.VMs[i].Controller.Err())
			d.StartController(i)
		}
		d.StartRouter(i)
		d.WaitReady(d.VMs[i])
		launcher.Until(t, stopTimeout, "balancer sees the router", func() bool { return b.sees(d.URL(i, "")) })
	}
	cancel()
	wg.Wait()
	t.Logf("%d streams whole, %d failed", l.whole, len(l.failed))
	is.True(l.whole > 0)
	is.Equal(l.failed, nil) // no stream was cut or refused
}

// stopRouter asks the router of VM i to stop and waits for its end.
func stopRouter(t *testing.T, d *launcher.Deployment, i int) {
	t.Helper()
	router := d.VMs[i].Router
	router.Terminate()
	launcher.Until(t, stopTimeout, "router ends", func() bool {
		select {
		case <-router.Ended():
			return true
		default:
			return false
		}
	})
	if err := router.Err(); err != nil {
		t.Errorf("router %d: %v\n%s", i, err, router.Output())
	}
}

func TestDrainTimeoutEndsAStop(t *testing.T) {
	t.Parallel()
	busy(t)
	is := is.New(t)
	d := launcher.Deploy(t, launcher.Shape{
		VMs:      1,
		Engines:  1,
		Services: 1,
		Settings: func(_ int, s *configurer.Settings) {
			s.Router.DrainDelay = checker.Duration(time.Millisecond)
			s.Router.DrainTimeout = checker.Duration(time.Second)
		},
	})
	stream := make(chan error, 1)
	go func() { stream <- complete(t.Context(), newClient(), d.URL(0, ""), 20*longStream) }()
	launcher.Until(t, stopTimeout, "the stream has begun", func() bool {
		return contains([]byte(d.VMs[0].Router.Output()), `"event":"route"`)
	})
	router := d.VMs[0].Router
	router.Terminate()
	<-router.Ended()
	is.True(router.Err() != nil) // the exit code tells of the cut
	is.True(contains([]byte(router.Output()), "open requests were cut"))
	is.True(<-stream != nil) // and so does the stream
}
