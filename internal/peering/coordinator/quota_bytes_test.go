package coordinator

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/routing/throttler"
)

const (
	byteOrganisations = 16
	byteSeconds       = 4
	byteTick          = 20 * time.Millisecond
	// maxQuotaEntryBytes is the largest entry of a report: a name of 16 bytes and five amounts.
	maxQuotaEntryBytes = 16 + 6 + 5*10
)

// byteSum is what quotas add to the messages of a hub, in both directions.
type byteSum struct{ reports, grants, states, entries int }

// TestQuotaBytes guards against messages whose size grows with organisations that are not
// active, and measures what quotas add at several numbers of VMs. Each VM gets 12.7 requests a
// second, 5% of them long, as 79 do with 1,000 in all.
func TestQuotaBytes(t *testing.T) {
	t.Parallel()
	for _, vms := range []int{79, 300, 1000} {
		for _, flood := range []float64{1, 20} {
			t.Run(fmt.Sprintf("%d VMs, one organisation sends %.0f times its share", vms, flood), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				interval := max(reportInterval, Capacity{Processors: 0.8}.pushInterval(vms, 0))
				sum := playQuotas(t, vms, flood, interval)
				perSecond := func(n int) float64 { return float64(n) / byteSeconds }
				t.Logf("every %v: hub receives %.0f bytes/s, sends %.0f bytes/s of grants and %.0f of states; %.1f bytes an entry of a report",
					interval.Round(time.Millisecond), perSecond(sum.reports), perSecond(sum.grants), perSecond(sum.states), float64(sum.reports)/float64(sum.entries))
				is.True(sum.reports <= sum.entries*maxQuotaEntryBytes)
				is.True(sum.entries <= vms*byteOrganisations*byteSeconds*int(time.Second/interval+1))
			})
		}
	}
}

func playQuotas(t *testing.T, vms int, flood float64, interval time.Duration) (sum byteSum) {
	t.Helper()
	rng := rand.New(rand.NewPCG(1, uint64(vms)))
	now := time.Unix(0, 0)
	quotas := make(map[string]throttler.Quota)
	rate := 12.7 * float64(vms) / byteOrganisations
	for o := range byteOrganisations {
		quotas[fmt.Sprintf("organisation-%02d", o)] = throttler.NewQuota(throttler.QuotaConfig{PerSecond: 2500 * rate, Burst: 2500 * rate, Over: 0.1, Slack: 190000})
	}
	hub := throttler.NewAllocator[int]()
	hub.SetQuotas(now, quotas)
	list := make([]*throttler.Credits, vms)
	for vm := range list {
		list[vm] = throttler.NewCredits()
		list[vm].SetFleet(now, throttler.NewUnnamedFleet("vm", vms))
		list[vm].SetQuotas(now, quotas)
	}
	nextReport := now
	names := slices.Sorted(maps.Keys(quotas))
	waiting := make(map[[2]int]float64) // by VM and organisation, for 250 ms on average
	for ; now.Before(time.Unix(byteSeconds, 0)); now = now.Add(byteTick) {
		for key, amount := range waiting {
			if list[key[0]].Take(now, names[key[1]], amount) || rng.Float64() < byteTick.Seconds()/0.25 {
				list[key[0]].SetDemand(names[key[1]], 0, 0)
				delete(waiting, key)
			}
		}
		for range int(12.7 * float64(vms) * byteTick.Seconds()) {
			o := rng.IntN(byteOrganisations)
			arrivals := 1
			if o == 0 {
				arrivals = int(flood)
			}
			for range arrivals {
				vm, amount := rng.IntN(vms), 400.0
				if rng.Float64() < 0.05 {
					amount = 17044
				}
				if !list[vm].Take(now, names[o], amount) && !list[vm].RoomAt(now, names[o], amount).After(now.Add(time.Second/4)) {
					list[vm].SetDemand(names[o], amount, amount)
					waiting[[2]int{vm, o}] = amount
				}
			}
		}
		if now.Before(nextReport) {
			continue
		}
		nextReport = nextReport.Add(interval)
		exchangeQuotas(t, now, hub, list, &sum)
	}
	return sum
}

// exchangeQuotas encodes the reports of all VMs and the answers of the hub.
func exchangeQuotas(t *testing.T, now time.Time, hub *throttler.Allocator[int], list []*throttler.Credits, sum *byteSum) {
	t.Helper()
	size := func(value any) int {
		data, err := cbor.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		return len(data) + 1 // the key of the message
	}
	for vm, c := range list {
		hub.AddVM(now, vm, fmt.Sprint(vm), false)
		reports := c.Reports(now)
		for _, r := range reports {
			hub.RecordQuota(now, vm, r)
		}
		if len(reports) > 0 {
			sum.reports += size(newQuotaUses(reports))
			sum.entries += len(reports)
		}
	}
	granted := make(map[int][]QuotaGrant)
	grants, _ := hub.AdvanceQuotas(now)
	for _, g := range grants {
		granted[g.VM] = append(granted[g.VM], QuotaGrant{g.Organisation, wholeAmount(g.Amount)})
	}
	states := hub.DrainQuotaStates()
	if len(states) > 0 {
		sum.states += size(newQuotaStates(states)) * len(list)
	}
	for vm, c := range list {
		c.ConfirmHub(now, now)
		for _, s := range states {
			c.ApplyState(now, s)
		}
		if own := granted[vm]; len(own) > 0 {
			sum.grants += size(own)
			for _, g := range own {
				c.AddGrant(now, throttler.QuotaGrant{Organisation: g.Organisation, Amount: float64(g.Amount)}, now)
			}
		}
	}
}
