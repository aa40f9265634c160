package informer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/follower"
	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/peering/exchanger"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/testing/piper"
	"gentianstep.example/gentianstep/platform"
	"gentianstep.example/gentianstep/platform/platformtest"
)

const storeAddress = "10.9.0.1:80"

// vm is a VM with an informer that follows the store and requests replicas from
// its peers.
type vm struct {
	informer *informer.Informer
	// announced counts the calls of OnConfiguration.
	announced atomic.Int32
	door      *platformtest.Endpoint
	stop      context.CancelFunc
}

func peerAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n + 1)}), 7340)
}

func startVM(t *testing.T, network *piper.Network, store *platformtest.Store, n, vms int) *vm {
	t.Helper()
	return startVMWithDoor(t, network, store.NewEndpoint(), n, vms)
}

// startVMWithDoor starts a VM that reaches the store through the given door, on
// which faults can be injected.
func startVMWithDoor(t *testing.T, network *piper.Network, door *platformtest.Endpoint, n, vms int) *vm {
	t.Helper()
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	return startVMWithLog(t, network, door, n, vms, logrus.NewEntry(quiet))
}

func startVMWithLog(t *testing.T, network *piper.Network, door *platformtest.Endpoint, n, vms int, log *logrus.Entry) *vm {
	t.Helper()
	v := &vm{door: door}
	name := fmt.Sprintf("%s-%d", storeAddress, n)
	network.Serve(name, v.door)
	transport := &http.Transport{DialContext: func(ctx context.Context, proto, target string) (net.Conn, error) {
		if target == storeAddress {
			target = name
		}
		return network.Dial(ctx, proto, target)
	}}
	client := platform.NewClient(platform.ClientConfig{
		Address:    netip.MustParseAddrPort(storeAddress),
		HTTPClient: &http.Client{Transport: transport},
	})
	v.informer = informer.New(informer.Config{
		Codec:             platform.Codec{},
		OperatorPrefix:    platform.OperatorPrefix,
		UpstreamPrefix:    platform.UpstreamPrefix,
		VMPrefix:          "own/",
		Started:           time.Now(),
		InitialWeightsAge: 4 * time.Second,
		OnConfiguration:   func() { v.announced.Add(1) },
		Log:               log,
	})
	exchange := exchanger.New(exchanger.Config{
		Replicas: v.informer,
		Peers: func() []netip.AddrPort {
			all := make([]netip.AddrPort, 0, vms)
			for i := range vms {
				all = append(all, peerAddress(i))
			}
			return exchanger.OtherAddresses(peerAddress(n), all)
		},
		Client: &http.Client{Transport: transport},
		Log:    log,
	})
	network.Serve(peerAddress(n).String(), exchange)
	ctx, stop := context.WithCancel(t.Context())
	v.stop = stop
	t.Cleanup(transport.CloseIdleConnections)
	for _, prefix := range []string{platform.OperatorPrefix, platform.UpstreamPrefix, "own/"} {
		go follower.New(follower.Config{Feed: client, Prefix: prefix, Sink: v.informer, Wait: 2 * time.Second}).Run(ctx)
	}
	go exchange.Run(ctx)
	go v.informer.Run(ctx)
	return v
}

func putConfiguration(store *platformtest.Store, version int, keys ...string) {
	store.Put("op/config", map[string]any{
		"version": version, "services": []any{map[string]any{"name": "s"}},
		"routes":  []any{map[string]any{"name": "r", "host": "h", "prefix": "/", "kind": "idempotent", "service": "s"}},
		"tenants": []any{map[string]any{"name": "o", "api_keys": keys}},
	})
}

func (v *vm) version() uint64 {
	m := v.informer.Matcher()
	if m == nil {
		return 0
	}
	return m.Configuration().Version
}

// TestChangesReachVMWithoutStore checks that a VM whose calls to the store fail
// learns of a new configuration, a revoked API key and a draining upstream from
// its peers, within the time allowed while the store is unavailable.
func TestChangesReachVMWithoutStore(t *testing.T) {
	t.Parallel()
	for _, fault := range []platformtest.StoreFault{platformtest.Unresponsive, platformtest.Unavailable, platformtest.RateLimited, platformtest.ConnectionReset} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				network, store := piper.New(), platformtest.NewStore()
				putConfiguration(store, 1, "k1", "k2")
				worker := platformtest.NewWorker("w1")
				entry := worker.Entry("s", "10.1.0.1:80", "z", 4)
				store.Put(worker.Key(), entry)
				vms := []*vm{startVM(t, network, store, 0, 3), startVM(t, network, store, 1, 3), startVM(t, network, store, 2, 3)}
				time.Sleep(time.Second)
				for _, v := range vms {
					is.True(v.informer.Ready())
					is.Equal(len(v.informer.Usable("s")), 1)
				}
				vms[0].door.SetFault(fault)
				time.Sleep(500 * time.Millisecond)
				putConfiguration(store, 2, "k1")
				entry["state"] = "draining"
				store.Put(worker.Key(), entry)
				time.Sleep(100 * time.Millisecond)
				is.Equal(vms[1].version(), uint64(2))
				time.Sleep(6 * time.Second) // the bounds are 2.5 s, and 5 s more while the store is unavailable
				for _, v := range vms {
					is.Equal(v.version(), uint64(2))
					_, ok := v.informer.Matcher().FindOrganisation("k2")
					is.True(!ok)
					is.Equal(len(v.informer.Usable("s")), 0)
				}
				vms[0].door.SetFault(platformtest.StoreHealthy)
				time.Sleep(4 * time.Second)
				is.Equal(vms[0].version(), uint64(2))
				for _, v := range vms {
					v.stop()
				}
				network.Close()
			})
		})
	}
}

func TestVMStartsWithoutStore(t *testing.T) {
	t.Parallel()
	for _, fault := range []platformtest.StoreFault{platformtest.Unresponsive, platformtest.Unavailable} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				network, store := piper.New(), platformtest.NewStore()
				putConfiguration(store, 1, "k1")
				peer := startVM(t, network, store, 1, 2)
				door := store.NewEndpoint()
				door.SetFault(fault)
				v := startVMWithDoor(t, network, door, 0, 2)
				is.True(!v.informer.Ready()) // nothing has been applied yet
				time.Sleep(time.Second)
				is.True(v.informer.Ready())
				is.Equal(v.version(), uint64(1))
				v.stop()
				peer.stop()
				network.Close()
			})
		})
	}
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network, store := piper.New(), platformtest.NewStore()
		putConfiguration(store, 5, "k1")
		v := startVM(t, network, store, 0, 1)
		time.Sleep(100 * time.Millisecond)
		is.Equal(v.version(), uint64(5))
		putConfiguration(store, 4, "k1")
		store.Put("op/config", []byte("{broken"))
		time.Sleep(time.Second)
		is.Equal(v.version(), uint64(5))
		putConfiguration(store, 9, "k1")
		store.Compact() // drops the history, so that the watch needs a new snapshot
		time.Sleep(time.Second)
		is.Equal(v.version(), uint64(9))
		is.Equal(v.announced.Load(), int32(2)) // versions 5 and 9
		v.stop()
		network.Close()
	})
}

func TestMalformedUpstreamEntry(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network, store := piper.New(), platformtest.NewStore()
		worker := platformtest.NewWorker("w1")
		store.Put(worker.Key(), worker.Entry("s", "10.1.0.1:80", "z", 4))
		store.Put("servers/x", map[string]any{"service": "s"})
		store.Put("servers/y", []byte{0xff, 0x00})
		v := startVM(t, network, store, 0, 1)
		time.Sleep(100 * time.Millisecond)
		is.Equal(len(v.informer.Usable("s")), 1)
		store.Put(worker.Key(), []byte("[]"))
		time.Sleep(100 * time.Millisecond)
		is.Equal(len(v.informer.Usable("s")), 0)
		v.stop()
		network.Close()
	})
}

func TestWeightsSetBeforeStart(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network, store := piper.New(), platformtest.NewStore()
		store.Put("op/version/m", map[string]any{"model": "m", "version": 3})
		startedAt := time.Now()
		v := startVM(t, network, store, 0, 1)
		time.Sleep(100 * time.Millisecond)
		is.Equal(v.informer.DesiredWeightsHistory("m")[0].Since, startedAt.Add(-4*time.Second)) // real age unknown: InitialWeightsAge before the start
		store.Put("op/version/m", map[string]any{"model": "m", "version": 4})
		time.Sleep(100 * time.Millisecond)
		is.Equal(v.informer.DesiredWeights()["m"].Version, uint64(4))
		is.True(v.informer.DesiredWeights()["m"].Since.After(startedAt))
		v.stop()
		network.Close()
	})
}

// TestChangesForOtherVMsAreBounded replaces a large configuration many times, as an operator
// does who edits hundreds of routes. A VM that has fallen behind must receive the newest one
// alone, not all of them, and one that is up to date nothing.
func TestChangesForOtherVMsAreBounded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := informer.Config{
		Codec:          platform.Codec{},
		OperatorPrefix: platform.OperatorPrefix,
		UpstreamPrefix: platform.UpstreamPrefix,
		VMPrefix:       "own/",
		Log:            logrus.NewEntry(log),
	}
	source, behind := informer.New(cfg), informer.New(cfg)
	now := time.Unix(1_700_000_000, 0)
	entry := func(revision uint64) storer.Entry {
		return storer.Entry{Key: "op/config", Value: make([]byte, 300_000), Revision: revision}
	}
	source.Replace(now, platform.OperatorPrefix, []storer.Entry{entry(1)}, storer.Version{Revision: 1})
	updates, position := source.Updates(now, nil, nil)
	behind.ApplyUpdate(now, updates[0])
	for revision := uint64(2); revision <= 20; revision++ {
		source.Apply(now, platform.OperatorPrefix, []storer.Change{{Entry: entry(revision)}}, storer.Version{Revision: revision})
	}
	updates, position = source.Updates(now, position, behind.Versions())
	is.Equal(len(updates), 1)
	is.Equal(len(updates[0].Changes), 1)
	behind.ApplyUpdate(now, updates[0])
	is.Equal(behind.Version(platform.OperatorPrefix), storer.Version{Revision: 20})
	updates, _ = source.Updates(now, position, nil)
	is.Equal(len(updates[0].Changes), 0)
	is.True(!updates[0].Complete)
}
