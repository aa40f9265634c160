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
	// latestOrder is how late the platform carries out an order at most.
	latestOrder = 12 * time.Second
	// mostIdle is how long an engine may be left out in all while it does nothing:
	// the bound of a call, the age of a report, and as much again for the notices.
	mostIdle = 1500 * time.Millisecond
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
	// changing are the engines that the VMs take to be changing their weights.
	changing map[string]bool
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
	d := &deployment{t: t, rng: rand.New(rand.NewPCG(seed, 0)), network: piper.New(), store: platformtest.NewStore(), changing: make(map[string]bool)}
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
		Node:      fmt.Sprintf("vm%d", n),
		Directory: d,
		Lease:     lease,
		Engines:   platform.Engines{HTTP: &http.Client{Transport: transport}},
		OnLease:   func() {},
		OnChange: func(u *registrar.Upstream, changing bool, _ map[string]uint64) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.changing[u.ID] = changing
		},
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
	switch d.rng.IntN(6) {
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
	case 5: // orders are carried out late
		w.DelayNextOrders(1+d.rng.IntN(2), time.Duration(2+d.rng.IntN(11))*time.Second)
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
				for _, w := range d.workers {
					w.LoseNextOrders(0)
					w.DelayNextOrders(0, 0)
				}
				time.Sleep(latestOrder) // the faults are over
				time.Sleep(12 * time.Second)
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

// TestOrdersThatAreCarriedOutLate leaves the first order to each engine without
// an answer until long after. The roll-out has to end in its time, and engines
// that do nothing must not be left out for long.
func TestOrdersThatAreCarriedOutLate(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1, 1, 6)
		for _, w := range d.workers {
			w.DelayNextOrders(1, 2*weightsApply)
		}
		d.start(0)
		defer d.network.Close()
		defer d.vms[0].stop()
		time.Sleep(time.Second)
		d.name()
		named, idle := time.Now(), make(map[string]time.Duration)
		const look = 20 * time.Millisecond
		for time.Since(named) < weightsApply {
			time.Sleep(look)
			d.mu.Lock()
			for _, w := range d.workers {
				if d.changing[w.ID] && !w.Changing() {
					idle[w.ID] += look
				}
			}
			d.mu.Unlock()
		}
		d.checkVersions()
		for id, took := range idle {
			if took > mostIdle {
				t.Errorf("%s was left out for %s while it did nothing", id, took)
			}
		}
		time.Sleep(3 * weightsApply) // the late orders come, and change nothing
		d.checkOrders()
		for _, w := range d.workers {
			if len(w.Orders()) != 1 {
				t.Errorf("%s carried out %v", w.ID, w.Orders())
			}
		}
	})
}
