package rehearser

import (
	"time"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/routing/gauger"
)

// speed returns the speed of an engine as the hub has published it.
func (p *prefixCost) speed(u *registrar.Upstream) float64 {
	if p.equalSpeeds {
		return 1
	}
	return p.r.gauger.Factor(u.ID)
}

// sampleSpeed adds the time to a first token to the samples of a VM.
func (r *simulation) sampleSpeed(vm int, p placement, took time.Duration) {
	if p.choice.Upstream == nil {
		return
	}
	r.sums[vm].Add(gauger.Sample{Upstream: p.choice.Upstream.ID, Observed: took, Expected: p.choice.Work(), Count: 1})
}

// shareSpeeds merges the samples of all VMs at the hub.
func (r *simulation) shareSpeeds(now time.Duration) {
	at := r.epoch.Add(now)
	for vm := range r.sums {
		for _, s := range r.sums[vm].Drain() {
			r.gauger.Observe(at, s)
		}
	}
	r.gauger.Update(at)
}
