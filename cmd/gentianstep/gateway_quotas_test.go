package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// Quotas of the organisations in tokens. Each request counts as quotaRequestTokens.
const (
	steadyRate         = 40000.0
	floodRate          = 2000.0
	quotaRequestTokens = 100
	quotaWindow        = 4 * time.Second
	quotaOver          = 0.1
	quotaSlack         = 2000.0
	// floodSenders is the number of senders at each VM. Each waits for its response, so that
	// few of them would only use what the quota gives.
	floodSenders = 8
	// quotaApply is config_apply_ms of the settings.
	quotaApply = 2500 * time.Millisecond
)

// quotaRow is a flood at all VMs and what happens after beforeEvent of it.
type quotaRow struct {
	Name     string  `json:"name"`
	KillsHub bool    `json:"kills_hub"`
	Lowered  float64 `json:"lowered"`
	LengthMS int     `json:"length_ms"`
}

const beforeEvent = 3 * time.Second

// TestQuotaHoldsOverAllGateways guards against an organisation that gets its quota, or a part of
// it beyond the tolerance, at each gateway, and against refusals of one that stays below its own.
func TestQuotaHoldsOverAllGateways(t *testing.T) {
	t.Parallel()
	var rows []quotaRow
	scripter.Read(t, "testdata/quotas.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			row.play(t)
		})
	}
}

func (row quotaRow) play(t *testing.T) {
	t.Helper()
	is := is.New(t)
	p := newPlatform(t)
	p.bounds = fmt.Sprintf("quota_window_s = %g\nquota_over = %g\nquota_slack = %g\n", quotaWindow.Seconds(), quotaOver, quotaSlack)
	p.configureQuotas(2, floodRate)
	vms := []*gatewayVM{p.start("vm1"), p.start("vm2"), p.start("vm3")}
	for _, vm := range vms {
		eventually(t, "VM is ready and has a hub", func() bool { return p.status(vm.ready) == http.StatusOK && vm.logged("hub_found") })
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Duration(row.LengthMS)*time.Millisecond)
	defer cancel()
	var group sync.WaitGroup
	refused := map[string]*atomic.Int64{"steady": {}, "flood": {}}
	for _, vm := range vms {
		group.Go(func() { p.sendEvery(ctx, vm, "steady", "", 50*time.Millisecond, refused["steady"]) })
		for sender := range floodSenders {
			group.Go(func() {
				p.sendEvery(ctx, vm, "flood", fmt.Sprint("-", sender, "-"), 10*time.Millisecond, refused["flood"])
			})
		}
	}
	event := time.NewTimer(beforeEvent)
	defer event.Stop()
	<-event.C
	from, rate := time.Time{}, floodRate
	if row.KillsHub {
		hubOf(t, vms).process.Kill()
	}
	if row.Lowered > 0 {
		rate *= row.Lowered
		p.configureQuotas(3, rate)
		from = time.Now().Add(quotaApply)
	}
	group.Wait()
	worst, total := p.mostRun(from)
	allowed := (rate*quotaWindow.Seconds()+rate)*(1+quotaOver) + quotaSlack
	t.Logf("at most %.0f of %.0f in a window, %d requests in all, refused %d and %d of the steady one", worst, allowed, total, refused["flood"].Load(), refused["steady"].Load())
	is.True(worst <= allowed)
	is.True(total > 0)
	is.True(refused["flood"].Load() > 0)
	is.Equal(refused["steady"].Load(), int64(0))
}

// configureQuotas writes a configuration with the two organisations.
func (p *platformFixture) configureQuotas(version int, rate float64) {
	organisation := func(name string, rate float64) any {
		return map[string]any{
			"name": name, "api_keys": []string{name}, "priority": 1, "isolated": false,
			"rate_per_s": rate, "burst": rate, "unit": "tokens", "plain_tokens": quotaRequestTokens,
		}
	}
	p.organisations = []any{organisation("steady", steadyRate), organisation("flood", rate)}
	p.configure(version)
}

// sendEvery sends requests one after another, whose IDs have a suffix of the sender, and counts those refused with 429.
func (p *platformFixture) sendEvery(ctx context.Context, vm *gatewayVM, key, sender string, interval time.Duration, refused *atomic.Int64) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		if status, _ := p.sendRequest(vm, "order", fmt.Sprint(key, vm.client, sender, n), key); status == http.StatusTooManyRequests {
			refused.Add(1)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// mostRun returns the most tokens that the flood has run in a window that begins after a time,
// and the number of its requests.
func (p *platformFixture) mostRun(from time.Time) (worst float64, total int) {
	var times []time.Time
	for _, run := range p.appWorker.Runs() {
		if run.Header.Get("Tenant-Id") != "flood" {
			continue
		}
		total++
		if run.At.After(from) {
			times = append(times, run.At)
		}
	}
	begin := 0
	for i, at := range times { // in the order of the runs
		for !at.Before(times[begin].Add(quotaWindow)) {
			begin++
		}
		worst = max(worst, float64((i-begin+1)*quotaRequestTokens))
	}
	return worst, total
}

// hubOf returns the VM that is the hub.
func hubOf(t *testing.T, vms []*gatewayVM) *gatewayVM {
	t.Helper()
	var hub *gatewayVM
	eventually(t, "the VMs have a hub", func() bool {
		for _, vm := range vms {
			log := vms[0].process.Output()
			if i := strings.LastIndex(log, `"event":"hub_found"`); i >= 0 && strings.Contains(strings.SplitN(log[i:], "\n", 2)[0], `"`+vm.peers+`"`) {
				hub = vm
			}
		}
		return hub != nil
	})
	return hub
}
