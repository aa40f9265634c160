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

// membershipTimeout limits the wait until all controllers agree on the state of
// a member.
const membershipTimeout = 30 * time.Second

// lastMemberState returns the last state of a member that a controller logged,
// or "" if there is none.
func lastMemberState(p *launcher.Process, member string) string {
	state := ""
	for line := range strings.Lines(p.Output()) {
		var entry struct{ Event, Member, State string }
		if json.Unmarshal([]byte(line), &entry) == nil && entry.Event == "membership" && entry.Member == member {
			state = entry.State
		}
	}
	return state
}

// TestControllerMembership starts controllers with a single seed address, stops
// one gracefully, and kills and restarts another.
func TestControllerMembership(t *testing.T) {
	t.Parallel()
	d := launcher.Deploy(t, launcher.Shape{
		VMs: 4, Engines: 1, Services: 1,
		Settings: func(_ int, s *configurer.Settings) {
			s.Controller.Peers = []netip.AddrPort{s.Controller.Peers[0]}
		},
	})
	waitForState := func(member, state string, observers ...int) {
		launcher.Until(t, membershipTimeout, member+" "+state, func() bool {
			for _, i := range observers {
				if lastMemberState(d.VMs[i].Controller, member) != state {
					return false
				}
			}
			return true
		})
	}
	waitForState("vm-1", "alive", 0, 2, 3)
	waitForState("vm-2", "alive", 0, 1, 3)
	waitForState("vm-3", "alive", 0, 1, 2)
	d.VMs[2].Controller.Terminate()
	waitForState("vm-2", "leaving", 0, 1, 3)
	d.VMs[3].Controller.Kill()
	waitForState("vm-3", "dead", 0, 1)
	d.StartController(3)
	waitForState("vm-3", "alive", 0, 1)
}
