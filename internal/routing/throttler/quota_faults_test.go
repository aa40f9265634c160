package throttler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const reportTime = 60 * time.Millisecond

var faultQuota = Quota{PerSecond: 1000, Capacity: 3000, Reserve: 1200}

// faultHub is a hub with three VMs and one quota.
type faultHub struct {
	*Allocator[string]
	now     time.Time
	granted float64
	// unused is what was granted to a VM since its last report of a demand.
	unused map[string]float64
}

func newFaultHub() *faultHub {
	h := &faultHub{Allocator: NewAllocator[string](), now: modelStart, unused: make(map[string]float64)}
	h.SetFleet(h.now, NewFleet("", []string{"a", "b", "c"}))
	h.SetQuotas(h.now, map[string]Quota{organisation: faultQuota})
	return h
}

// pass lets a time pass in which all VMs report, and one states a demand.
func (h *faultHub) pass(d time.Duration, wants string, amount float64) {
	for until := h.now.Add(d); h.now.Before(until); h.now = h.now.Add(reportTime) {
		for _, vm := range []string{"a", "b", "c"} {
			h.AddVM(h.now, vm, vm, false)
		}
		if wants != "" {
			h.RecordQuota(h.now, wants, QuotaReport{Organisation: organisation, Used: h.unused[wants], First: amount, Wanted: amount})
			h.unused[wants] = 0
		}
		grants, _ := h.AdvanceQuotas(h.now)
		for _, g := range grants {
			h.granted += g.Amount
			h.unused[g.VM] += g.Amount
		}
	}
}

// TestSessionsThatRestartAddNothing guards against VMs that get a part of the reserve each time
// they connect again.
func TestSessionsThatRestartAddNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newFaultHub()
	begin := h.now
	for range 80 {
		h.pass(reportTime, "a", 100)
		h.RemoveVM(h.now, "b")
	}
	allowed := faultQuota.PerSecond*h.now.Sub(begin).Seconds() + 2*initialShare*faultQuota.Reserve
	t.Logf("granted %.0f, want at most %.0f", h.granted, allowed)
	is.True(h.granted <= allowed)
}

// TestSessionsThatRestartLeaveNoDebt guards against credit that is deducted a second time when
// the sessions of its VMs end.
func TestSessionsThatRestartLeaveNoDebt(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newFaultHub()
	h.pass(5*time.Second, "", 0)
	h.pass(reportTime, "a", 2500)
	is.Equal(h.granted, 2500.0)
	for _, vm := range []string{"a", "b", "c"} {
		h.RemoveVM(h.now, vm)
	}
	is.True(h.quotas[organisation].saved >= 0)
}

// TestLostGrantIsNotKept guards against a quota that is smaller for ever after a grant that a VM
// has not received, for example one of an organisation that its configuration lacked then.
func TestLostGrantIsNotKept(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newFaultHub()
	h.pass(5*time.Second, "", 0)
	h.pass(reportTime, "a", 2500)
	h.RecordQuota(h.now, "a", QuotaReport{Organisation: organisation})
	h.pass(10*time.Second, "", 0)
	is.Equal(h.quotas[organisation].saved, faultQuota.Capacity)
}

// TestAmountAboveCapacity guards against a request above the capacity that is never granted
// while another VM holds credit, and against one that alone exceeds what a window allows.
func TestAmountAboveCapacity(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newFaultHub()
	h.pass(5*time.Second, "", 0)
	h.pass(reportTime, "b", 100)
	h.pass(reportTime, "a", 3500)
	is.Equal(h.granted, 3600.0)
	is.True(h.quotas[organisation].saved < 0)

	c := newFaultCredits(modelStart, faultQuota)
	lost := modelStart.Add(2 * hubTTL)
	is.True(!c.Take(lost, organisation, 1e9))
	is.True(c.RoomAt(lost, organisation, 1e9).After(lost.Add(maxRoom / 2)))
	is.True(c.Take(lost, organisation, 4000)) // a debt after a calm state
}

// advanceQuota lets a VM alone use 600 in advance.
var advanceQuota = Quota{PerSecond: 1000, Capacity: 1200, Reserve: 1200}

// newFaultCredits returns the credits of the only VM, whose hub is calm.
func newFaultCredits(now time.Time, quota Quota) *Credits {
	c := NewCredits()
	c.SetFleet(now, NewFleet("a", []string{"a"}))
	c.SetQuotas(now, map[string]Quota{organisation: quota})
	c.Reports(now)
	c.ConfirmHub(now, now)
	c.ApplyState(now, QuotaState{Organisation: organisation, Calm: true})
	return c
}

// TestUseInAdvanceCountsUntilReported guards against VMs that use the reserve again with each
// message of the hub, although the hub does not know of the use yet.
func TestUseInAdvanceCountsUntilReported(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newFaultCredits(modelStart, advanceQuota)
	at := func(n int) time.Time { return modelStart.Add(time.Duration(n) * reportTime) }
	c.Reports(at(1))
	is.True(c.Take(at(1), organisation, 500)) // at the time of the report, after it
	c.ConfirmHub(at(2), at(1))
	is.True(!c.Take(at(2), organisation, 500))
	is.Equal(c.Reports(at(2))[0].Owed, 500.0)
	c.ConfirmHub(at(3), at(2))
	is.True(c.Take(at(3), organisation, 500))
}

// TestEndOfHub guards against VMs that refuse requests within the quota for some time after the
// connection to their hub has ended, and against ones that run more than their share then.
func TestEndOfHub(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := modelStart.Add(reportTime)
	c := newFaultCredits(modelStart, advanceQuota)
	is.True(!c.Take(now, organisation, 1500))
	c.EndHub(now)
	is.True(c.Take(now, organisation, 1500))
	is.True(!c.Take(now.Add(time.Second), organisation, 100)) // the share repays the debt first

	c = newFaultCredits(modelStart, advanceQuota)
	c.ApplyState(modelStart, QuotaState{Organisation: organisation})
	c.EndHub(now)
	is.True(!c.Take(now.Add(time.Second/2), organisation, 600))
	is.True(c.Take(now.Add(time.Second/2), organisation, 500))
}

// TestSilentHub guards against VMs that refuse requests within the quota until they have lost a
// hub that hangs.
func TestSilentHub(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newFaultCredits(modelStart, advanceQuota)
	is.True(c.Take(modelStart, organisation, 500))
	c.Reports(modelStart.Add(reportTime))
	is.True(!c.Take(modelStart.Add(reportTime), organisation, 500))
	later := modelStart.Add(reportTime + time.Second/2)
	is.True(c.Take(later, organisation, 500))
	is.True(!c.Take(later, organisation, 200))
	is.Equal(c.Reports(later)[0].Owed, 500.0) // a hub that goes on deducts it
	c.ConfirmHub(later, later)
	is.True(!c.Take(later, organisation, 700))
	is.True(c.Take(later, organisation, 600))

	c = newFaultCredits(modelStart, advanceQuota)
	c.ApplyState(modelStart, QuotaState{Organisation: organisation})
	c.SetDemand(organisation, 300, 300)
	c.Reports(modelStart)
	is.True(!c.Take(modelStart.Add(silentTime), organisation, 300))
	is.True(c.Take(modelStart.Add(silentTime+300*time.Millisecond), organisation, 300))
}

// TestDebtWithoutState guards against VMs that all start during a flood without a hub and run a
// long prompt each, and against ones that refuse short ones then.
func TestDebtWithoutState(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := NewCredits()
	c.SetFleet(modelStart, NewUnnamedFleet("a", 30))
	c.SetQuotas(modelStart, map[string]Quota{organisation: faultQuota})
	is.True(!c.Take(modelStart, organisation, 500))
	is.True(c.Take(modelStart, organisation, 90))
	is.True(!c.Take(modelStart, organisation, 90))
}
