package starter

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/announcer"
	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/placement/leaser"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/streaming/bounder"
	"gentianstep.example/gentianstep/internal/testing/clocker"
	"gentianstep.example/gentianstep/internal/testing/piper"
	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/internal/upstream/noticer"
	"gentianstep.example/gentianstep/platform"
	"gentianstep.example/gentianstep/platform/platformtest"
)

const (
	// upstreamReturn is the time after the return of the store within which upstreams have
	// written their entries again.
	upstreamReturn = 2 * time.Second
	restoredZones  = 6
	regionsOfZones = 3
	// restoredUpstreams is the number of upstreams.
	restoredUpstreams = 12
	// pollInterval is how often the state of the VMs is checked.
	pollInterval = 50 * time.Millisecond
	// pageSize is that of the store of the users' deployments.
	pageSize = 500
	// settleTime is the time until all VMs are in service after their start.
	settleTime = 12 * time.Second
)

// storeRestore is a series of restores of the store of a deployment.
type storeRestore struct {
	Name            string  `json:"name"`
	VMs             int     `json:"vms"`
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
	FirstEra        uint64  `json:"first_era"`
	// AwayMS is how long the store is away in each restore.
	AwayMS []int `json:"away_ms"`
}

// restoredFleet is a deployment whose store is restored.
type restoredFleet struct {
	row    storeRestore
	bounds configurer.VMBounds
	store  *platformtest.Store
	meter  *storeMeter
	// observer is a client whose calls are not counted.
	observer Store
	network  *piper.Network
	gateways []*gateway
	loops    sync.WaitGroup
	version  int
}

func newRestoredFleet(t *testing.T, row storeRestore) *restoredFleet {
	t.Helper()
	f := &restoredFleet{
		row: row,
		// The shortest bounds of the users' deployments.
		bounds: configurer.VMBounds{
			Drain: 2500 * time.Millisecond, StopGrace: 8 * time.Second, ConfigurationApply: 2500 * time.Millisecond,
			WeightsApply: 8 * time.Second, RetryRatio: 0.2, RetryExtra: 58, RetryWindow: 10 * time.Second,
			Lease: 3 * time.Second, EnginesCheckFencing: true,
		},
		store:   platformtest.NewStore(),
		network: piper.New(),
	}
	f.store.PageSize = pageSize
	f.meter = &storeMeter{store: f.store.NewEndpoint()}
	f.observer = newStoreClient(&storeMeter{store: f.store.NewEndpoint()})
	f.store.StartEra(row.FirstEra)
	f.operate()
	ctx, stop := context.WithCancel(t.Context())
	for n := range row.VMs {
		f.gateways = append(f.gateways, f.startVM(ctx, n))
	}
	t.Cleanup(func() {
		stop()
		f.loops.Wait()
		f.network.Close()
	})
	return f
}

func newStoreClient(m *storeMeter) Store {
	return platform.NewClient(platform.ClientConfig{
		Address:    netip.MustParseAddrPort("10.9.0.1:80"),
		HTTPClient: &http.Client{Transport: m},
	})
}

// operate writes the next version of the configuration and of weights, and the entries of
// the upstreams.
func (f *restoredFleet) operate() {
	f.version++
	f.store.Put("op/config", map[string]any{
		"version": f.version, "services": []any{map[string]any{"name": "s"}},
		"routes": []any{map[string]any{"name": "r", "host": "h", "prefix": "/", "kind": "idempotent", "service": "s"}},
	})
	f.store.Put("op/version/m", map[string]any{"model": "m", "version": f.version})
	for n := range restoredUpstreams {
		worker := platformtest.NewWorker(fmt.Sprintf("w%d", n))
		f.store.Put(worker.Key(), worker.Entry("s", fmt.Sprintf("10.1.0.%d:80", n+1), "z0", 4))
	}
}

func (f *restoredFleet) startVM(ctx context.Context, n int) *gateway {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	regions := make(map[string]string)
	for zone := range restoredZones {
		regions[fmt.Sprintf("z%d", zone)] = fmt.Sprintf("r%d", zone%regionsOfZones)
	}
	address := netip.AddrFrom4([4]byte{10, 0, byte(n / 250), byte(n%250 + 1)})
	g := newGateway(gatewayConfig{
		Settings: &configurer.VMSettings{
			Node: fmt.Sprintf("vm%03d", n), AvailabilityZone: fmt.Sprintf("z%d", n%restoredZones), Regions: regions,
			PeerAddress: netip.AddrPortFrom(address, 7340), Bounds: f.bounds,
			Store: configurer.StoreSettings{MinLeaseTTL: time.Second, WritesPerSecond: f.row.WritesPerSecond},
		},
		Platform: Platform{
			Codec: platform.Codec{}, OperatorPrefix: platform.OperatorPrefix, UpstreamPrefix: platform.UpstreamPrefix,
			NewStore: func(netip.AddrPort, *http.Client, *bounder.Bounder) Store {
				return newStoreClient(f.meter)
			},
			NewEngineClient: func(_, _ *http.Client, _ *noticer.Noticer, _ *bounder.Bounder) EngineClient { return nil },
		},
		Dial:      f.network.Dial,
		SinceBoot: clocker.SinceBoot,
		Log:       logrus.NewEntry(quiet),
	})
	f.network.Serve(g.settings.Load().PeerAddress.String(), g.peerHandler())
	for _, loop := range g.storeLoops() {
		f.loops.Go(func() { loop(ctx) })
	}
	return g
}

// calm holds the times from the return of the store until parts of the deployment are as
// before, zero while they are not.
type calm struct {
	entries, lease, configuration, upstreams time.Duration
}

func (c calm) String() string {
	return fmt.Sprintf("VM entries %v, lease %v, configuration and weights %v, upstreams %v", c.entries, c.lease, c.configuration, c.upstreams)
}

// measure waits until all parts are as before, or limit has passed.
func (f *restoredFleet) measure(ctx context.Context, era uint64, limit time.Duration) calm {
	var c calm
	begin := time.Now()
	for time.Since(begin) < limit && (c.entries == 0 || c.lease == 0 || c.configuration == 0 || c.upstreams == 0) {
		time.Sleep(pollInterval)
		parts := []struct {
			since *time.Duration
			holds func() bool
		}{
			{&c.entries, func() bool { return f.vmsAgree(ctx) }},
			{&c.lease, func() bool { return f.count(func(g *gateway) bool { return mayOrder(g, era) }) == 1 }},
			{&c.configuration, func() bool { return f.all(func(g *gateway) bool { return f.hasNewest(g, era) }) }},
			{&c.upstreams, func() bool { return f.all(func(g *gateway) bool { return knowsUpstreams(g, era) }) }},
		}
		for _, p := range parts {
			if *p.since == 0 && p.holds() {
				*p.since = time.Since(begin)
			}
		}
	}
	return c
}

// all reports whether a condition holds for all VMs.
func (f *restoredFleet) all(holds func(g *gateway) bool) bool {
	return !slices.ContainsFunc(f.gateways, func(g *gateway) bool { return !holds(g) })
}

func (f *restoredFleet) count(holds func(g *gateway) bool) int {
	n := 0
	for _, g := range f.gateways {
		if holds(g) {
			n++
		}
	}
	return n
}

// knowsUpstreams reports whether the VM has the upstreams' entries of an era.
func knowsUpstreams(g *gateway, era uint64) bool {
	return g.informer.Versions()[platform.UpstreamPrefix].Era == era && len(g.informer.Usable("s")) == restoredUpstreams
}

// mayOrder reports whether the VM holds a lease of an era and may give orders.
func mayOrder(g *gateway, era uint64) bool {
	lease, held := g.leaser.Holding(time.Now())
	first, err := leaser.FencingNumber(storer.Version{Era: era})
	return err == nil && held && lease.Fencing > first && !time.Now().Before(lease.StartsAt)
}

// vmsAgree reports whether the store has the entries of all VMs, and all VMs have them.
func (f *restoredFleet) vmsAgree(ctx context.Context) bool {
	entries, err := f.observer.List(ctx, vmPrefix)
	if err != nil || len(entries) != len(f.gateways) {
		return false
	}
	var newest storer.Version
	for _, e := range entries {
		if e.Version().After(newest) {
			newest = e.Version()
		}
	}
	return f.all(func(g *gateway) bool { return !newest.After(g.informer.Versions()[systemPrefix]) })
}

// hasNewest reports whether the VM has the newest configuration and weights in an era.
func (f *restoredFleet) hasNewest(g *gateway, era uint64) bool {
	m := g.informer.Matcher()
	return m != nil && m.Configuration().Version == uint64(f.version) &&
		g.informer.DesiredWeights()["m"].Version == uint64(f.version) &&
		g.informer.Versions()[platform.OperatorPrefix].Era == era
}

// TestRestoredStoreIsCalmInTime restores the store of a deployment twice from a copy. The
// calls of all VMs must stay within the limits of the store, and the replicas, the entries
// of the VMs and the lease must be as before in time. RESTORED_VMS adds a deployment of
// that size.
func TestRestoredStoreIsCalmInTime(t *testing.T) {
	t.Parallel()
	var rows []storeRestore
	scripter.Read(t, "testdata/store_restores.json", &rows)
	if n, err := strconv.Atoi(os.Getenv("RESTORED_VMS")); err == nil && n > 0 {
		// The limits of the store of the users' largest deployment.
		rows = append(rows, storeRestore{
			Name: fmt.Sprintf("%d VMs", n), VMs: n, WritesPerSecond: 3200, ReadsPerSecond: 16_000, FirstEra: 1, AwayMS: []int{1500, 300},
		})
	}
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runStoreRestores(t, row) })
		})
	}
}

func runStoreRestores(t *testing.T, row storeRestore) {
	is := is.New(t)
	f := newRestoredFleet(t, row)
	era := row.FirstEra
	time.Sleep(settleTime)
	f.meter.reset()
	time.Sleep(settleTime)
	t.Logf("before: %v", f.meter.load())
	for _, away := range row.AwayMS {
		older := f.store.Copy()
		f.operate()
		time.Sleep(5 * time.Second)
		f.store.Restore(older, time.Duration(away)*time.Millisecond)
		era++
		f.meter.reset()
		f.operate()
		c := f.measure(t.Context(), era, settleTime)
		t.Logf("away for %d ms: %v; %v", away, c, f.meter.load())
		is.True(f.meter.load().writes <= row.WritesPerSecond)
		is.True(f.meter.load().reads <= row.ReadsPerSecond)
		is.True(c.entries > 0 && c.entries <= announcer.RestoreTTL)
		is.True(c.configuration > 0 && c.configuration <= f.bounds.ConfigurationApply)
		is.True(c.upstreams > 0 && c.upstreams <= upstreamReturn+f.bounds.Drain)
		is.True(c.lease > 0 && c.lease <= f.bounds.WeightsApply/2)
		time.Sleep(settleTime)
	}
}
