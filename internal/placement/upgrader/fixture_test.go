package upgrader_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/placement/leaser"
	"gentianstep.example/gentianstep/internal/placement/upgrader"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/testing/clocker"
	"gentianstep.example/gentianstep/internal/testing/piper"
	"gentianstep.example/gentianstep/platform"
	"gentianstep.example/gentianstep/platform/platformtest"
)

// deployment simulates VMs, engines and a store in virtual time.
type deployment struct {
	t       *testing.T
	rng     *rand.Rand
	network *piper.Network
	store   *platformtest.Store
	// copied is the last copy of the store.
	copied platformtest.StoreCopy
	// client is a client of the store without faults.
	client  *platform.Client
	workers []*platformtest.Worker
	// ignoreFencing is true if the engines do not check fencing numbers.
	ignoreFencing bool
	// odd are upstreams that entries of another writer name.
	odd []*registrar.Upstream
	// watchLease is true if the VMs see at once that the lease has ended.
	watchLease bool

	mu     sync.Mutex
	wanted []informer.Weights
	vms    []*vm
	// changing holds the engines that OnChange last reported as changing their
	// weights.
	changing map[string]bool
}

// vm is the leaser and the upgrader of one VM.
type vm struct {
	door  *platformtest.Endpoint
	lease *leaser.Leaser
	stop  context.CancelFunc
	done  sync.WaitGroup
}

// Engines implements upgrader.Directory. It lists the engines with the weights
// that they currently have.
func (d *deployment) Engines() []*registrar.Upstream {
	list := make([]*registrar.Upstream, 0, len(d.workers))
	for n, w := range d.workers {
		list = append(list, &registrar.Upstream{
			ID: w.ID, Service: "s", Address: address(n), Slots: 8, StartedAt: w.StartedAt(),
			Weights: map[string]uint64{model: w.Version(model)},
		})
	}
	return append(list, d.odd...)
}

// DesiredWeights implements upgrader.Directory.
func (d *deployment) DesiredWeights() map[string]informer.Weights {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.wanted) == 0 {
		return nil
	}
	return map[string]informer.Weights{model: d.wanted[len(d.wanted)-1]}
}

// DesiredWeightsHistory implements upgrader.Directory.
func (d *deployment) DesiredWeightsHistory(string) []informer.Weights {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]informer.Weights(nil), d.wanted...)
}

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n + 1)}), 80)
}

func newDeployment(t *testing.T, seed uint64, vms, workers int) *deployment {
	d := &deployment{t: t, rng: rand.New(rand.NewPCG(seed, 0)), network: piper.New(), store: platformtest.NewStore(), changing: make(map[string]bool)}
	for n := range workers {
		w := platformtest.NewWorker(fmt.Sprintf("w%d", n+1))
		w.SetModel(model, 1)
		w.LoadTime, w.StartedAtMS = loadTime, int64(1000+n)
		d.network.Serve(address(n).String(), w)
		d.workers = append(d.workers, w)
	}
	d.network.Serve(storeAddress, d.store.NewEndpoint())
	d.client = platform.NewClient(platform.ClientConfig{
		Address:    netip.MustParseAddrPort(storeAddress),
		HTTPClient: &http.Client{Transport: &http.Transport{DialContext: d.network.Dial, DisableKeepAlives: true}},
	})
	for range vms {
		d.vms = append(d.vms, &vm{door: d.store.NewEndpoint()})
	}
	return d
}

// start starts VM n.
func (d *deployment) start(n int) {
	v := d.vms[n]
	name := fmt.Sprintf("%s-%d", storeAddress, n)
	d.network.Serve(name, v.door)
	dial := func(ctx context.Context, network, target string) (conn net.Conn, err error) {
		if target == storeAddress {
			target = name
		}
		return d.network.Dial(ctx, network, target)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	transport := &http.Transport{DialContext: dial}
	client := platform.NewClient(platform.ClientConfig{
		Address:    netip.MustParseAddrPort(storeAddress),
		HTTPClient: &http.Client{Transport: transport},
	})
	lease := leaser.New(leaser.Config{
		SinceBoot: clocker.SinceBoot,
		Store:     client,
		Key:       leaseKey,
		Node:      fmt.Sprintf("vm%d", n),
		Durations: func() (leaser.Durations, bool) {
			return leaser.Durations{TTL: leaseTTL, OrderTimeout: orderTimeout}, true
		},
		Held: d.leaseHeld,
		Log:  log,
	})
	up := upgrader.New(upgrader.Config{
		Node:      fmt.Sprintf("vm%d", n),
		Directory: d,
		Lease:     lease,
		Engines:   platform.EngineClient{HTTPClient: &http.Client{Transport: transport}, OrderClient: &http.Client{Transport: transport}},
		OnLease:   func() {},
		OnChange: func(u *registrar.Upstream, changing bool, _ map[string]uint64) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.changing[u.ID] = changing
		},
		InFlight:            func() map[string]int { return nil },
		WeightsApply:        weightsApply,
		EnginesCheckFencing: !d.ignoreFencing,
		Log:                 log,
	})
	ctx, stop := context.WithCancel(context.Background())
	v.lease = lease
	v.stop = func() {
		stop()
		v.done.Wait()
		transport.CloseIdleConnections()
		d.network.Stop(name)
	}
	v.done.Go(func() { lease.Run(ctx) })
	v.done.Go(func() { up.Run(ctx) })
}

// leaseHeld returns the version at which the lease is held. It returns false if VMs do
// not watch the lease.
func (d *deployment) leaseHeld() (storer.Version, bool) {
	if !d.watchLease {
		return storer.Version{}, false
	}
	entry, err := d.client.Get(context.Background(), leaseKey)
	return entry.Version(), err == nil
}

// holder returns the VM that holds the lease, or -1 if there is none.
func (d *deployment) holder() int {
	for n, v := range d.vms {
		if _, held := v.lease.Holding(time.Now()); held {
			return n
		}
	}
	return -1
}

// publishVersion makes a new version the wanted one.
func (d *deployment) publishVersion() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wanted = append(d.wanted, informer.Weights{Version: uint64(len(d.wanted) + 2), Since: time.Now()})
}

// wantedVersion returns the version that was published last.
func (d *deployment) wantedVersion() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return uint64(len(d.wanted) + 1)
}
