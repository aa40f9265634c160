package relayer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/follower"
	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/peering/relayer"
	"gentianstep.example/gentianstep/internal/testing/piper"
	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/platform"
	"gentianstep.example/gentianstep/platform/platformtest"
)

const (
	storeAddress = "10.9.0.1:80"
	vmPrefix     = "own/"
	// relays is the number of VMs that follow the store for the others.
	relays = 2
	// applyTime is the time in which a new configuration must be in force, the
	// shortest of the users' deployments.
	applyTime = 2500 * time.Millisecond
	maxAge    = applyTime / 4
)

// vm is a VM that follows the store or is supplied by a relay.
type vm struct {
	informer *informer.Informer
	door     *platformtest.Endpoint
}

func relayAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n + 1)}), 7340)
}

// fleet is a number of VMs of one region, the first of which are relays.
type fleet struct {
	network *piper.Network
	store   *platformtest.Store
	vms     []*vm
	// fault is that of the store towards VMs that start.
	fault platformtest.StoreFault
}

func startFleet(t *testing.T, vms int) *fleet {
	t.Helper()
	f := &fleet{network: piper.New(), store: platformtest.NewStore()}
	f.putConfiguration(1)
	for n := range vms {
		f.vms = append(f.vms, f.startVM(t, n))
	}
	t.Cleanup(f.network.Close)
	return f
}

func (f *fleet) startVM(t *testing.T, n int) *vm {
	t.Helper()
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	log := logrus.NewEntry(quiet)
	v := &vm{door: f.store.NewEndpoint()}
	v.door.SetFault(f.fault)
	door := fmt.Sprintf("%s-%d", storeAddress, n)
	f.network.Serve(door, v.door)
	transport := &http.Transport{DialContext: func(ctx context.Context, proto, target string) (net.Conn, error) {
		if target == storeAddress {
			target = door
		}
		return f.network.Dial(ctx, proto, target)
	}}
	t.Cleanup(transport.CloseIdleConnections)
	store := platform.NewClient(platform.ClientConfig{
		Address:    netip.MustParseAddrPort(storeAddress),
		HTTPClient: &http.Client{Transport: transport},
	})
	v.informer = informer.New(informer.Config{
		Codec:          platform.Codec{},
		OperatorPrefix: platform.OperatorPrefix,
		UpstreamPrefix: platform.UpstreamPrefix,
		VMPrefix:       vmPrefix,
		Started:        time.Now(),
		// Half of the shortest time in which new weights must be in use.
		InitialWeightsAge: 4 * time.Second,
		Log:               log,
	})
	client := relayer.NewClient(relayer.ClientConfig{
		Node: fmt.Sprintf("vm-%d", n),
		Relays: func() []netip.AddrPort {
			if n < relays {
				return nil
			}
			return []netip.AddrPort{relayAddress(n % relays), relayAddress((n + 1) % relays)}
		},
		MaxAge: func(string) time.Duration { return maxAge },
		Sink:   v.informer,
		Client: &http.Client{Transport: transport},
		Log:    log,
	})
	if n < relays {
		f.network.Serve(relayAddress(n).String(), relayer.NewServer(relayer.ServerConfig{Source: v.informer, Interval: maxAge / 4, Log: log}))
	}
	for _, prefix := range []string{platform.OperatorPrefix, platform.UpstreamPrefix, vmPrefix} {
		go follower.New(follower.Config{
			Feed:          store,
			Prefix:        prefix,
			Sink:          v.informer,
			Pace:          func() follower.Pace { return f.pace(n) },
			SuppliedUntil: func() time.Time { return client.SuppliedUntil(prefix) },
		}).Run(t.Context())
	}
	go client.Run(t.Context())
	go v.informer.Run(t.Context())
	return v
}

func (f *fleet) pace(n int) follower.Pace {
	if n < relays {
		return follower.Pace{Wait: maxAge / 2}
	}
	return follower.Pace{Wait: 2 * time.Second}
}

func (f *fleet) putConfiguration(version int) {
	f.store.Put("op/config", map[string]any{
		"version": version, "services": []any{map[string]any{"name": "s"}},
		"routes": []any{map[string]any{"name": "r", "host": "h", "prefix": "/", "kind": "idempotent", "service": "s"}},
	})
}

func (v *vm) version() uint64 {
	if m := v.informer.Matcher(); m != nil {
		return m.Configuration().Version
	}
	return 0
}

// faultRow is a fault during which the configuration changes.
type faultRow struct {
	Name string `json:"name"`
	// Silent and Stop are the numbers of relays that become silent or stop.
	Silent  int  `json:"silent"`
	Stop    int  `json:"stop"`
	Compact bool `json:"compact"`
	// Store is a fault of the store towards some VMs.
	Store struct {
		Fault       platformtest.StoreFault `json:"fault"`
		Relays      int                     `json:"relays"`
		Subscribers bool                    `json:"subscribers"`
	} `json:"store"`
}

func (f *fleet) inject(row faultRow) {
	for n := range row.Silent {
		f.network.Lose(relayAddress(n).String(), true)
	}
	for n := range row.Stop {
		f.network.Stop(relayAddress(n).String())
	}
	if row.Compact {
		f.store.Compact()
	}
	for n, v := range f.vms {
		if n < relays && n < row.Store.Relays || n >= relays && row.Store.Subscribers {
			v.door.SetFault(row.Store.Fault)
		}
	}
}

// TestChangesReachAllVMsInTime changes the configuration, an upstream's entry and a VM's
// entry right after a fault of the relays or of the store. Each VM that reaches the store
// or a relay must know of them in time.
func TestChangesReachAllVMsInTime(t *testing.T) {
	t.Parallel()
	var rows []faultRow
	scripter.Read(t, "testdata/faults.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := startFleet(t, 30)
				worker := platformtest.NewWorker("w1")
				f.store.Put(worker.Key(), worker.Entry("s", "10.1.0.1:80", "z", 4))
				time.Sleep(5 * time.Second)
				f.inject(row)
				f.putConfiguration(2)
				f.store.Remove(worker.Key())
				f.store.Put(vmPrefix+"a", map[string]any{})
				time.Sleep(applyTime)
				for n, v := range f.vms {
					if n < row.Store.Relays {
						continue // it reaches nobody that knows
					}
					is.Equal(v.version(), uint64(2))
					is.Equal(len(v.informer.Usable("s")), 0)
					is.Equal(len(v.informer.VMs()), 1)
				}
			})
		})
	}
}

// TestWeightsAgesPassThroughRelays guards against a VM that a relay tells late of newer
// weights, and that uses older ones for as long as if it had known at once.
func TestWeightsAgesPassThroughRelays(t *testing.T) {
	t.Parallel()
	var rows []faultRow
	scripter.Read(t, "testdata/faults.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := startFleet(t, 10)
				f.putWeights(1)
				time.Sleep(5 * time.Second)
				f.inject(row)
				f.putWeights(2)
				setAt := time.Now()
				time.Sleep(5 * time.Second)
				for n, v := range f.vms {
					if n < row.Store.Relays {
						continue // it reaches nobody that knows
					}
					newest := v.informer.DesiredWeights()["m"]
					is.Equal(newest.Version, uint64(2))
					late := newest.Since.Sub(setAt)
					t.Logf("VM %d counts from %v after the version was set", n, late)
					is.True(late <= 100*time.Millisecond)
					is.True(late >= -maxAge)
				}
			})
		})
	}
}

// TestVMThatStartsLearnsAgeFromRelay guards against a VM that starts after newer weights were
// set, learns of them from a relay before the store responds, and counts from then.
func TestVMThatStartsLearnsAgeFromRelay(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, relays)
		f.putWeights(1)
		time.Sleep(5 * time.Second)
		f.putWeights(2)
		setAt := time.Now()
		time.Sleep(3 * time.Second)
		f.fault = platformtest.Unresponsive
		v := f.startVM(t, relays)
		time.Sleep(2 * time.Second)
		newest := v.informer.DesiredWeights()["m"]
		is.Equal(newest.Version, uint64(2))
		late := newest.Since.Sub(setAt)
		t.Logf("counts from %v after the version was set", late)
		is.True(late <= 100*time.Millisecond)
		is.True(late >= -100*time.Millisecond)
	})
}

// TestStoreCallsDoNotGrowWithVMs has upstreams whose entries change all the time, as
// in a large deployment. The VMs beyond the relays may add next to no calls.
func TestStoreCallsDoNotGrowWithVMs(t *testing.T) {
	t.Parallel()
	for _, vms := range []int{30, 100} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := startFleet(t, vms)
				time.Sleep(5 * time.Second)
				before, _ := f.store.CallCounts()
				for n := range 100 {
					worker := platformtest.NewWorker("w1")
					f.store.Put(worker.Key(), worker.Entry("s", fmt.Sprintf("10.1.0.%d:80", n), "z", 4))
					time.Sleep(100 * time.Millisecond)
				}
				after, _ := f.store.CallCounts()
				// In 10 s each relay watches two prefixes at most every maxAge/2, the
				// third after each of 100 changes.
				is.True(after-before <= relays*(100+3*int(10*time.Second/(maxAge/2))))
			})
		})
	}
}
