package coordinator_test

import (
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/routing/withholder"
	"gentianstep.example/gentianstep/internal/upstream/noticer"
)

func newNoticer() *noticer.Noticer {
	return noticer.New(noticer.Config{
		Bounds: withholder.Config{Drain: time.Second, MaxHoldOff: time.Minute}, Meter: meter.New(), Log: discardLog(),
	})
}

// TestDeparturesReachAllVMs tells one VM that an upstream is leaving. The others must
// know it without a response of their own, also if they connect later or if another VM
// becomes the hub, and only of that process.
func TestDeparturesReachAllVMs(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		second := netip.MustParseAddrPort("10.0.0.2:7340")
		var moved atomic.Bool
		hub := func() (netip.AddrPort, bool) {
			if moved.Load() {
				return second, true
			}
			return hubAddress, true
		}
		network, _ := startHub(t, func() bool { return !moved.Load() })
		defer network.Close()
		serveHub(t, network, second, moved.Load)
		a, b := startVM(t, network, "a", hub), startVM(t, network, "b", hub)
		time.Sleep(time.Second)
		u := &registrar.Upstream{ID: "u", Address: netip.MustParseAddrPort("10.0.1.1:80"), StartedAt: time.Now().Add(-time.Hour)}
		a.noticer.Record(u, withholder.Notice{Leaving: true, HoldOff: 5 * time.Second})
		time.Sleep(200 * time.Millisecond)
		is.True(!b.noticer.IsOpen(u))
		is.True(b.noticer.HeldUntil(u).IsZero()) // a hold-off is for the VM that got it
		earlier, later := *u, *u
		earlier.StartedAt, later.StartedAt = u.StartedAt.Add(-time.Hour), u.StartedAt.Add(time.Second)
		is.True(!b.noticer.IsOpen(&earlier)) // an outdated entry
		is.True(b.noticer.IsOpen(&later))
		c := startVM(t, network, "c", hub)
		time.Sleep(200 * time.Millisecond)
		is.True(!c.noticer.IsOpen(u))
		moved.Store(true)
		time.Sleep(time.Second)
		d := startVM(t, network, "d", hub)
		time.Sleep(time.Second)
		is.True(!d.noticer.IsOpen(u))
		for _, v := range []*vm{a, b, c, d} {
			v.stop()
		}
	})
}
