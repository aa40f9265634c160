package starter_test

import (
	"encoding/json"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/testing/launcher"
)

// memberTimeout bounds the wait until all controllers agree.
const memberTimeout = 30 * time.Second

// stateOf returns the last state of a member in the log of a controller.
func stateOf(p *launcher.Process, member string) string {
	state := ""
	for line := range strings.Lines(p.Output()) {
		var entry struct{ Event, Member, State string }
		if json.Unmarshal([]byte(line), &entry) == nil && entry.Event == "membership" && entry.Member == member {
			state = entry.State
		}
	}
	return state
}

// TestControllersFollowEachOther starts controllers that know one address only,
// stops one as planned and kills another.
func TestControllersFollowEachOther(t *testing.T) {
	t.Parallel()
	d := launcher.Deploy(t, launcher.Shape{
		VMs: 4, Engines: 1, Services: 1,
		Settings: func(_ int, s *configurer.Settings) {
			s.Controller.Peers = []netip.AddrPort{s.Controller.Peers[0]}
		},
	})
	wait := func(member, state string, by ...int) {
		launcher.Until(t, memberTimeout, member+" "+state, func() bool {
			for _, i := range by {
				if stateOf(d.VMs[i].Controller, member) != state {
					return false
				}
			}
			return true
		})
	}
	wait("vm-1", "alive", 0, 2, 3)
	wait("vm-2", "alive", 0, 1, 3)
	wait("vm-3", "alive", 0, 1, 2)
	d.VMs[2].Controller.Terminate()
	wait("vm-2", "leaving", 0, 1, 3)
	d.VMs[3].Controller.Kill()
	wait("vm-3", "dead", 0, 1)
	d.StartController(3)
	wait("vm-3", "alive", 0, 1)
}
