package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/platform/platformtest"
)

const (
	// unwrittenRequests is the number of requests, each of unwrittenDelay, that the test
	// sends before the operator writes again what the restored store lacks.
	unwrittenRequests = 20
	unwrittenDelay    = 100 * time.Millisecond
	// lostWrites is the number of revisions that the copy lacks when a lease is taken first.
	lostWrites    = 40
	longAbsence   = time.Second
	shortAbsence  = 200 * time.Millisecond
	responseDelay = 10 * time.Millisecond
	eventInterval = 10 * time.Millisecond
	// heartbeat is heartbeat_ms of the settings.
	heartbeat = 1200 * time.Millisecond
)

// restoredPlatform is a platform under load whose store is restored from an older copy.
type restoredPlatform struct {
	*platformFixture
	vms     []*gatewayVM
	removed *platformtest.Worker
	engines []*platformtest.Worker
	// older is the copy of the store, taken before the VMs start.
	older platformtest.StoreCopy
}

func newRestoredPlatform(t *testing.T) *restoredPlatform {
	t.Helper()
	p := &restoredPlatform{platformFixture: newPlatform(t), removed: platformtest.NewWorker("removed")}
	p.store.StartEra(1)
	second := platformtest.NewWorker("engine2")
	second.SetModel("m", 1)
	second.LoadTime = p.engineWorker.LoadTime
	p.engines = []*platformtest.Worker{p.engineWorker, second}
	for _, w := range p.engines {
		w.EventInterval = eventInterval
	}
	p.appWorker.ResponseDelay, p.removed.ResponseDelay = responseDelay, responseDelay
	for _, w := range []*platformtest.Worker{second, p.removed} {
		w.StartedAtMS = time.Now().UnixMilli()
	}
	p.addWorker(second, "llm")
	p.addWorker(p.removed, "app")
	p.older = p.store.Copy()
	for n := range lostWrites {
		p.nameWeights("other", n+1)
	}
	p.vms = []*gatewayVM{p.start("vm1"), p.start("vm2")}
	for _, vm := range p.vms {
		eventually(t, "VM is ready", func() bool { return p.status(vm.ready) == http.StatusOK })
	}
	eventually(t, "a VM holds the lease", func() bool { return p.countLogged("lease_taken") > 0 })
	return p
}

// runHeartbeats lets the workers that stay write their entries until ctx is done.
func (p *restoredPlatform) runHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, w := range append(p.engines, p.appWorker) {
			p.register(w)
		}
	}
}

// operate revokes the second key, names a version of the weights and removes a worker.
func (p *restoredPlatform) operate(weights int) {
	p.configure(2, "k1")
	p.nameWeights("m", weights)
	p.store.Remove(p.removed.Key())
}

func (p *restoredPlatform) countLogged(event string) int {
	n := 0
	for _, vm := range p.vms {
		n += vm.countLogged(event)
	}
	return n
}

// waitForWeights waits until all engines have a version of the weights.
func (p *restoredPlatform) waitForWeights(version uint64) {
	p.t.Helper()
	eventually(p.t, fmt.Sprintf("engines load version %d", version), func() bool {
		for _, w := range p.engines {
			if w.Version("m") != version {
				return false
			}
		}
		return true
	})
}

// followsEra reports whether the VM has the operator's entries of an era.
func (vm *gatewayVM) followsEra(era int) bool {
	for line := range strings.Lines(vm.process.Output()) {
		if strings.Contains(line, `"event":"store_restored"`) && strings.Contains(line, `"prefix":"op/"`) && strings.Contains(line, fmt.Sprintf(`"era":%d,`, era)) {
			return true
		}
	}
	return false
}

// TestRestoredStoreUnderLoad restores the store of a platform under load, twice in a row
// from the same copy. Requests must not be affected, and what was written after the copy
// was taken must remain in force until the operator has written it again.
func TestRestoredStoreUnderLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := newRestoredPlatform(t)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go p.runHeartbeats(ctx)
	loads := make([]*requestLoad, 0, len(p.vms))
	for _, vm := range p.vms {
		l := &requestLoad{platform: p.platformFixture, vm: vm, routes: []string{"order", "match", "ask"}, key: "k1"}
		l.start(ctx)
		t.Cleanup(l.wait)
		loads = append(loads, l)
	}

	t.Log("the operator revokes a key, names a version and removes a worker")
	eventually(t, "worker serves before its removal", func() bool { return p.removed.Arrivals() > 0 })
	p.operate(2)
	p.waitForWeights(2)
	for _, vm := range p.vms {
		eventually(t, "key is revoked", func() bool {
			status, _ := p.sendRequest(vm, "look", "revoked", "k2")
			return status == http.StatusUnauthorized
		})
		eventually(t, "worker has left", func() bool { return vm.logged("upstream_gone") })
	}
	arrivals := p.removed.Arrivals()

	t.Log("the store is restored twice")
	p.store.Restore(p.older, longAbsence)
	eventually(t, "a VM follows the restored store", func() bool { return p.countLogged("store_restored") > 0 })
	p.store.Restore(p.older, shortAbsence)
	p.appWorker.SetResponseDelay(unwrittenDelay)
	for n := range unwrittenRequests {
		vm := p.vms[n%len(p.vms)]
		status, _ := p.sendRequest(vm, "look", fmt.Sprint("revoked", n), "k2")
		is.Equal(status, http.StatusUnauthorized)
		status, _ = p.sendRequest(vm, "look", fmt.Sprint("valid", n), "k1")
		is.Equal(status, http.StatusOK)
	}
	p.appWorker.SetResponseDelay(responseDelay)
	for _, vm := range p.vms {
		eventually(t, "VM follows the store restored twice", func() bool { return vm.followsEra(3) })
	}

	t.Log("the operator writes again, and names the next version")
	p.operate(2)
	p.operate(3)
	p.waitForWeights(3)
	status, _ := p.sendRequest(p.vms[0], "look", "revoked at last", "k2")
	is.Equal(status, http.StatusUnauthorized)
	stop()
	for _, l := range loads {
		l.wait()
	}
	is.Equal(p.removed.Arrivals(), arrivals)
	for _, l := range loads {
		t.Logf("%d requests to %s", len(l.sent), l.vm.client)
		for _, fault := range l.check(append(p.engines, p.appWorker, p.removed)) {
			t.Error(fault)
		}
	}
	p.checkOrders()
}

// checkOrders checks that at each engine fencing numbers and versions do not fall, and that
// no two VMs use the same fencing number.
func (p *restoredPlatform) checkOrders() {
	p.t.Helper()
	is := is.New(p.t)
	holders := make(map[uint64]string)
	for _, w := range p.engines {
		var last platformtest.OrderArrival
		for _, o := range w.OrderArrivals() {
			p.t.Logf("order to %s: holder %s, fencing number %d, version %d", w.ID, o.Holder, o.FencingNumber, o.Version)
			is.True(o.FencingNumber >= last.FencingNumber)
			is.True(o.Version >= last.Version)
			is.True(holders[o.FencingNumber] == "" || holders[o.FencingNumber] == o.Holder)
			holders[o.FencingNumber], last = o.Holder, o
		}
	}
}
