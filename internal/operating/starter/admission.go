package starter

import (
	"math"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/serving/gatekeeper"
)

const (
	// firstSlots is the number of slots of a router that has no bundle yet.
	firstSlots = 64
	// slotHeadroom is by how much the slots of all routers together exceed
	// those of the engines, since callers spread unevenly over routers.
	slotHeadroom = 1.25
)

// newGate returns what lets completion requests wait for a slot.
func newGate(log *logrus.Entry) *gatekeeper.Gate {
	return gatekeeper.New(gatekeeper.Config{Slots: firstSlots, Log: log})
}

// setGate puts the admission policy and the router's part of the slots of a
// bundle in force.
func (r *router) setGate(b *checker.Bundle) {
	slots := 0
	for _, u := range b.Upstreams {
		if u.Kind == checker.Engine {
			slots += u.Slots
		}
	}
	share := float64(slots) / float64(max(r.routers, 1)) * slotHeadroom
	r.gate.SetPolicy(b.Policy.Admission)
	r.gate.SetCapacity(int(math.Ceil(share)))
}

// takeBundle hands a bundle to the parts of the router.
func (r *router) takeBundle(b *checker.Bundle) {
	r.withdraw.SetUpstreams(upstreamNames(b))
	r.choose.SetBundle(b)
	r.ration.SetBundle(b)
	r.setGate(b)
}
