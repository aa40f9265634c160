package upgrader_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/placement/leaser"
	"gentianstep.example/gentianstep/internal/placement/upgrader"
	"gentianstep.example/gentianstep/internal/testing/piper"
	"gentianstep.example/gentianstep/platform"
	"gentianstep.example/gentianstep/platform/platformtest"
)

const (
	model        = "m"
	storeAddress = "10.9.0.1:80"
	weightsApply = 8 * time.Second
	loadTime     = 500 * time.Millisecond
)

// deployment is VMs, engines and a store in virtual time.
type deployment struct {
	t       *testing.T
	rng     *rand.Rand
	network *piper.Network
	store   *platformtest.Store
	workers []*platformtest.Worker

	mu     sync.Mutex
	wanted []informer.Weights
	vms    []*vm
}

// vm is one VM's part of roll-outs.
type vm struct {
	door *platformtest.Door
	stop context.CancelFunc
	done sync.WaitGroup
}

// Engines lists the engines with what they last wrote of themselves.
func (d *deployment) Engines() []*registrar.Upstream {
	list := make([]*registrar.Upstream, 0, len(d.workers))
	for n, w := range d.workers {
		list = append(list, &registrar.Upstream{
			ID: w.ID, Service: "s", Address: address(n), Slots: 8, StartedAt: w.StartedAt(),
			Weights: map[string]uint64{model: w.Version(model)},
		})
	}
	return list
}

// Wanted implements upgrader.Directory.
func (d *deployment) Wanted() map[string]informer.Weights {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.wanted) == 0 {
		return nil
	}
	return map[string]informer.Weights{model: d.wanted[len(d.wanted)-1]}
}

// WantedWeights implements upgrader.Directory.
func (d *deployment) WantedWeights(string) []informer.Weights {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]informer.Weights(nil), d.wanted...)
}

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n + 1)}), 80)
}

func newDeployment(t *testing.T, seed uint64, vms, workers int) *deployment {
	d := &deployment{t: t, rng: rand.New(rand.NewPCG(seed, 0)), network: piper.New(), store: platformtest.NewStore()}
	for n := range workers {
		w := platformtest.NewWorker(fmt.Sprintf("w%d", n+1))
		w.SetModel(model, 1)
		w.LoadTime, w.Born = loadTime, int64(1000+n)
		d.network.Serve(address(n).String(), w)
		d.workers = append(d.workers, w)
	}
	for range vms {
		d.vms = append(d.vms, &vm{door: d.store.Door()})
	}
	return d
}

// start runs a VM.
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
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	log := logrus.NewEntry(quiet)
	transport := &http.Transport{DialContext: dial}
	client := platform.NewClient(platform.ClientConfig{
		Address: netip.MustParseAddrPort(storeAddress),
		HTTP:    &http.Client{Transport: transport},
	})
	lease := leaser.New(leaser.Config{
		Store: client,
		Key:   "lease",
		Node:  fmt.Sprintf("vm%d", n),
		Terms: func() (leaser.Terms, bool) {
			return leaser.Terms{TTL: 2 * time.Second, OrderTimeout: 3 * time.Second}, true
		},
		Log: log,
	})
	up := upgrader.New(upgrader.Config{
		Node:           fmt.Sprintf("vm%d", n),
		Directory:      d,
		Lease:          lease,
		Engines:        platform.Engines{HTTP: &http.Client{Transport: transport}},
		OnLease:        func() {},
		OnChange:       func(*registrar.Upstream, bool, map[string]uint64) {},
		Loads:          func() map[string]int { return nil },
		WeightsApply:   weightsApply,
		CheckedFencing: true,
		Log:            log,
	})
	ctx, stop := context.WithCancel(context.Background())
	v.stop = func() {
		stop()
		v.done.Wait()
		transport.CloseIdleConnections()
		d.network.Stop(name)
	}
	v.done.Go(func() { lease.Run(ctx) })
	v.done.Go(func() { up.Run(ctx) })
}

// name makes a new version wanted.
func (d *deployment) name() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wanted = append(d.wanted, informer.Weights{Version: uint64(len(d.wanted) + 2), Since: time.Now()})
}

// newest is the version that is wanted last.
func (d *deployment) newest() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return uint64(len(d.wanted) + 1)
}

// strike lets one thing happen.
func (d *deployment) strike() {
	n := d.rng.IntN(len(d.vms))
	w := d.workers[d.rng.IntN(len(d.workers))]
	switch d.rng.IntN(5) {
	case 0:
		d.name()
	case 1: // one VM is turned away for a while
		faults := []platformtest.StoreFault{platformtest.Silent, platformtest.Busy, platformtest.Reset, platformtest.Lost, platformtest.Late}
		door := d.vms[n].door
		door.Set(faults[d.rng.IntN(len(faults))])
		time.AfterFunc(time.Duration(1+d.rng.IntN(5))*time.Second, func() { door.Set(platformtest.Sound) })
	case 2: // one VM is replaced
		d.vms[n].stop()
		d.start(n)
	case 3: // orders take effect without an answer
		w.LoseNextOrders(1 + d.rng.IntN(2))
	case 4: // an engine starts again under its ID
		w.Restart()
	}
}

// checkOrders checks what each engine accepted: numbers never go back, and no
// two VMs share one.
func (d *deployment) checkOrders() {
	d.t.Helper()
	holders := make(map[string]string)
	for _, w := range d.workers {
		last := uint64(0)
		for _, order := range w.Orders() {
			var holder string
			var fence, version uint64
			if _, err := fmt.Sscan(order, &holder, &fence, &version); err != nil {
				d.t.Fatal(err)
			}
			key := fmt.Sprint(fence)
			if other, ok := holders[key]; ok && other != holder {
				d.t.Fatalf("%s and %s used fencing number %d", other, holder, fence)
			}
			holders[key] = holder
			if fence < last {
				d.t.Fatalf("fencing number %d after %d at %s: %s", fence, last, w.ID, strings.Join(w.Orders(), ", "))
			}
			last = fence
		}
	}
}

func (d *deployment) checkVersions() {
	d.t.Helper()
	for _, w := range d.workers {
		if got := w.Version(model); got != d.newest() {
			d.t.Fatalf("%s has version %d, %d is wanted", w.ID, got, d.newest())
		}
	}
}

// seeds is the number of seeds to play: ROLLOUT_SEEDS where that is set.
func seeds() uint64 {
	n, err := strconv.ParseUint(os.Getenv("ROLLOUT_SEEDS"), 10, 32)
	if err != nil {
		return 40
	}
	return n
}

// TestRollOutsUnderFaults plays random faults with fixed seeds.
func TestRollOutsUnderFaults(t *testing.T) {
	t.Parallel()
	for seed := range seeds() {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, seed, 3, 6)
				for n := range d.vms {
					d.start(n)
				}
				d.name()
				for range 25 {
					time.Sleep(time.Duration(d.rng.IntN(900)) * time.Millisecond)
					d.strike()
					d.checkOrders()
				}
				for _, v := range d.vms {
					v.door.Set(platformtest.Sound)
				}
				time.Sleep(12 * time.Second) // the faults are over
				d.checkOrders()
				d.checkVersions()
				for _, v := range d.vms {
					v.stop()
				}
				d.network.Close()
			})
		})
	}
}

// TestCalmRollOutIsQuickAndGradual looks at each moment of a roll-out.
func TestCalmRollOutIsQuickAndGradual(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1, 3, 18)
		for n := range d.vms {
			d.start(n)
		}
		time.Sleep(5 * time.Second) // a holder is found
		d.name()
		named := time.Now()
		most := 0
		for time.Since(named) < weightsApply/2 {
			time.Sleep(20 * time.Millisecond)
			changing := 0
			for _, w := range d.workers {
				if w.Changing() {
					changing++
				}
			}
			most = max(most, changing)
		}
		d.checkVersions() // in half of the time
		if most == 0 || most > 6 {
			t.Fatalf("%d of 18 engines changed at once", most)
		}
		for _, w := range d.workers {
			if n := len(w.Orders()); n != 1 {
				t.Fatalf("%s was given %d orders", w.ID, n)
			}
		}
		for _, v := range d.vms {
			v.stop()
		}
		d.network.Close()
	})
}

// TestLastEngineIsChangedToo has one engine, which nobody can stand in for.
func TestLastEngineIsChangedToo(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1, 1, 1)
		d.start(0)
		d.name()
		time.Sleep(weightsApply / 2)
		d.checkVersions()
		d.vms[0].stop()
		d.network.Close()
	})
}

// expiring is a lease that ends at a time.
type expiring struct{ end time.Time }

// Holding implements upgrader.Holder.
func (e expiring) Holding(now time.Time) (leaser.Holding, bool) {
	return leaser.Holding{Fencing: 7, Deadline: e.end}, now.Before(e.end)
}

// TestNoOrderAfterTheLease ends the lease between a plan and its orders.
func TestNoOrderAfterTheLease(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1, 1, 3)
		d.name()
		transport := &http.Transport{DialContext: d.network.Dial}
		quiet := logrus.New()
		quiet.SetOutput(io.Discard)
		ctx, stop := context.WithCancel(t.Context())
		var loop sync.WaitGroup
		up := upgrader.New(upgrader.Config{
			Node: "vm", Directory: d, Lease: expiring{time.Now().Add(250 * time.Millisecond)},
			Engines:      platform.Engines{HTTP: &http.Client{Transport: transport}},
			OnLease:      func() {},
			OnChange:     func(*registrar.Upstream, bool, map[string]uint64) {},
			Loads:        func() map[string]int { return nil },
			WeightsApply: weightsApply, CheckedFencing: true, Log: logrus.NewEntry(quiet),
		})
		loop.Go(func() { up.Run(ctx) })
		time.Sleep(3 * time.Second)
		for _, w := range d.workers {
			if n := len(w.Orders()); n != 0 {
				t.Errorf("%s was given %d orders after the lease", w.ID, n)
			}
		}
		stop()
		loop.Wait()
		transport.CloseIdleConnections()
		d.network.Close()
	})
}
