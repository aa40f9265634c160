package forwarder_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/gateway/forwarder"
	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/peering/coordinator"
	"gentianstep.example/gentianstep/internal/routing/throttler"
	"gentianstep.example/gentianstep/internal/upstream/caller"
	"gentianstep.example/gentianstep/platform/platformtest"
)

const (
	// workerDownTime is the time between the end of a worker and its next start.
	workerDownTime = 3 * time.Second
	// workerDelay and workerEventInterval are the times of workers that answer.
	workerDelay         = 60 * time.Millisecond
	workerEventInterval = 20 * time.Millisecond
)

// fleet is a fixture with more VMs before the same workers, and a hub between them.
type fleet struct {
	*fixture
	vms    []*fleetVM
	size   int
	hubLog *logrus.Entry

	mu sync.Mutex
	// hub is the address of the hub.
	hub netip.AddrPort
	// hubOff is true while no VM is the hub.
	hubOff bool
	// ends holds the times at which workers have ended.
	ends []time.Time
	// arrivals holds the requests that have reached workers.
	arrivals []arrival
	// generations counts the processes of each worker, and down holds those that have ended
	// and not started again.
	generations []int
	down        []bool
	parts       []string
	targets     []string
	// crashText is the Text of the row.
	crashText *string
	// crashReadTime is how long workers read a request before they crash under it.
	crashReadTime time.Duration
	restarts      sync.WaitGroup
}

// fleetVM is one VM of a fleet.
type fleetVM struct {
	address   string
	forwarder *forwarder.Forwarder
	// stop ends its connection to the hub.
	stop context.CancelFunc
}

// arrival is a request that has reached a worker.
type arrival struct {
	at       time.Time
	worker   int
	id       string
	crashing bool
}

// throttlerFleet returns all VMs, as they are known to that of a node.
func (f *fleet) throttlerFleet(node string) throttler.Fleet {
	nodes := make([]string, 0, f.size)
	for n := range f.size {
		nodes = append(nodes, fmt.Sprintf("vm%d", n))
	}
	return throttler.NewFleet(node, nodes)
}

// newFleet starts VMs before a number of workers.
func newFleet(t *testing.T, vms, workers int) *fleet {
	t.Helper()
	f := &fleet{fixture: newFixture(t, workers), size: vms, hub: netip.MustParseAddrPort("10.0.1.1:7340"), generations: make([]int, workers), down: make([]bool, workers)}
	log := logrus.New()
	log.SetOutput(f.log)
	log.SetFormatter(&logrus.JSONFormatter{})
	f.hubLog = logrus.NewEntry(log)
	f.serveHub(t)
	for n := range vms {
		f.vms = append(f.vms, f.startVM(t, n))
	}
	list := make([]*registrar.Upstream, 0, workers)
	for n := range workers {
		f.network.Stop(workerAddress(n).String())
		list = append(list, f.startWorker(n))
	}
	f.directory.setUpstreams(list)
	return f
}

// vmAddress returns the address of a VM.
func vmAddress(n int) string { return fmt.Sprintf("10.0.1.%d:80", n+1) }

// startVM starts the process of a VM.
func (f *fleet) startVM(t *testing.T, n int) *fleetVM {
	t.Helper()
	node := fmt.Sprintf("vm%d", n)
	entry := f.hubLog.WithField("node", node)
	calls := caller.New(caller.Config{Dial: f.dial, IdleTimeout: time.Second})
	ctx, cancel := context.WithCancel(t.Context())
	vm := &fleetVM{address: vmAddress(n), stop: cancel}
	f.view, f.noticer = coordinator.NewView(), newNoticer(entry)
	f.noticer.SetFleet(f.throttlerFleet(node))
	vm.forwarder = f.newForwarder(node, calls, entry)
	f.network.Serve(vm.address, vm.forwarder)
	transport := &http.Transport{DialContext: f.network.Dial}
	go coordinator.NewSubscriber(coordinator.SubscriberConfig{
		Node:           node,
		Hub:            f.hubAddress,
		Loads:          vm.forwarder.Loads,
		DrainSentParts: vm.forwarder.DrainSentParts,
		UrgentReports:  vm.forwarder.UrgentReports(),
		Quarantines:    f.isolator,
		Limits:         f.noticer,
		View:           f.view,
		Client:         &http.Client{Transport: transport},
		Log:            entry,
	}).Run(ctx)
	t.Cleanup(func() {
		cancel()
		transport.CloseIdleConnections()
		calls.Close()
	})
	return vm
}

// restartVM ends the process of a VM and starts another, which has no memory of it.
func (f *fleet) restartVM(t *testing.T, n int) {
	t.Helper()
	f.network.Stop(f.vms[n].address)
	f.vms[n].stop()
	f.vms[n] = f.startVM(t, n)
}

// serveHub starts a hub at f.hub.
func (f *fleet) serveHub(t *testing.T) {
	t.Helper()
	hub := coordinator.NewHub(coordinator.HubConfig{Active: func() bool { return true }, Fleet: func() throttler.Fleet { return f.throttlerFleet("") }, Log: f.hubLog})
	f.network.Serve(f.hub.String(), hub)
	go hub.Run(t.Context())
}

// moveHub replaces the hub by another, without any state.
func (f *fleet) moveHub(t *testing.T) {
	t.Helper()
	f.network.Stop(f.hub.String())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hub = netip.AddrPortFrom(f.hub.Addr(), f.hub.Port()+1)
	f.serveHub(t)
}

// stopHub leaves the VMs without a hub.
func (f *fleet) stopHub() {
	f.network.Stop(f.hub.String())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hubOff = true
}

// hubAddress returns the address of the hub, false if there is none.
func (f *fleet) hubAddress() (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hub, !f.hubOff
}

// setCrash makes all workers crash on requests with one of the parts or targets.
func (f *fleet) setCrash(parts, targets []string) {
	f.mu.Lock()
	f.parts, f.targets = parts, targets
	f.mu.Unlock()
	for n, w := range f.workers {
		f.setWorkerCrash(w, n, parts, targets)
	}
}

func (f *fleet) setWorkerCrash(w *platformtest.Worker, n int, parts, targets []string) {
	w.SetCrash(parts, targets, func() { f.endWorker(n) })
	if f.crashText != nil {
		w.SetCrashText(*f.crashText)
	}
}

// startWorker starts the next process of a worker and returns its entry.
func (f *fleet) startWorker(n int) *registrar.Upstream {
	f.mu.Lock()
	f.generations[n]++
	f.down[n] = false
	id := fmt.Sprintf("w%d.%d", n+1, f.generations[n])
	parts, targets := f.parts, f.targets
	f.mu.Unlock()
	w := platformtest.NewWorker(id)
	w.SetModel("m", 1)
	w.ResponseDelay = workerDelay
	w.EventInterval = workerEventInterval
	f.setWorkerCrash(w, n, parts, targets)
	f.workers[n] = w
	u := f.entry(n)
	u.StartedAt = time.Now()
	f.network.Serve(workerAddress(n).String(), http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if f.recordArrival(n, r) {
			select {
			case <-time.After(f.crashReadTime):
			case <-r.Context().Done():
				return
			}
		}
		w.ServeHTTP(rw, r)
	}))
	return u
}

// recordArrival records a request and reports whether it crashes workers.
func (f *fleet) recordArrival(worker int, r *http.Request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	crashing := slices.Contains(f.targets, r.RequestURI) ||
		slices.ContainsFunc(platformtest.PromptParts(r), func(id string) bool { return slices.Contains(f.parts, id) })
	f.arrivals = append(f.arrivals, arrival{at: time.Now(), worker: worker, id: r.Header.Get("Request-Id"), crashing: crashing})
	return crashing
}

// endWorker ends the process of a worker. Another one starts after workerDownTime, and
// its entry replaces that of the former.
func (f *fleet) endWorker(n int) {
	if !f.recordEnd(n) {
		return // it has ended already
	}
	// Tests wait for the restarts once a client's connection has ended, so that the restart
	// is registered before the connections are closed.
	f.restarts.Go(func() {
		time.Sleep(workerDownTime)
		u := f.startWorker(n)
		list := slices.Clone(f.directory.Upstreams())
		list[n] = u
		f.directory.setUpstreams(list)
	})
	f.network.Stop(workerAddress(n).String())
}

// recordEnd records the end of a worker. It returns false if it has ended already.
func (f *fleet) recordEnd(n int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down[n] {
		return false
	}
	f.down[n] = true
	f.ends = append(f.ends, time.Now())
	return true
}
