package starter

import (
	"math"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/serving/gatekeeper"
)

const (
	// initialSlots is the capacity of a router's admission gate until the first
	// bundle is in force.
	initialSlots = 64
	// slotHeadroom is the ratio between the slots of all routers and those of all
	// engines. It is above 1 because callers are not distributed evenly across the
	// routers.
	slotHeadroom = 1.25
)

// newAdmissionGate returns the gate that queues completion requests until a slot
// is free.
func newAdmissionGate(log *logrus.Entry) *gatekeeper.Gate {
	return gatekeeper.New(gatekeeper.Config{Slots: initialSlots, Log: log})
}

// configureAdmission applies the admission policy of a bundle and sets the
// capacity to this router's share of the engines' slots.
func (r *router) configureAdmission(b *checker.Bundle) {
	slots := 0
	for _, u := range b.Upstreams {
		if u.Kind == checker.Engine {
			slots += u.Slots
		}
	}
	share := float64(slots) / float64(max(r.routers, 1)) * slotHeadroom
	r.admission.SetPolicy(b.Policy.Admission)
	r.admission.SetCapacity(int(math.Ceil(share)))
}

// applyBundle updates the components of the router to a new bundle.
func (r *router) applyBundle(b *checker.Bundle) {
	r.withdrawer.SetUpstreams(upstreamNames(b))
	r.processes.SetUpstreams(b.Upstreams)
	r.chooser.SetBundle(b)
	r.rationer.SetBundle(b)
	r.configureAdmission(b)
}
