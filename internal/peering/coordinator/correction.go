package coordinator

import (
	"time"

	"gentianstep.example/gentianstep/internal/membership/registrar"
)

// correctionTTL is how long an engine counts as having the older weights that it
// named in a response. After that, what the store and the hub say applies again.
const correctionTTL = 5 * time.Second

// correction is the version of a model's weights that an engine named in a response
// although a newer one was known.
type correction struct {
	startedAt time.Time
	model     string
	version   uint64
	expiresAt time.Time
}

// correct records a correction. The caller holds v.mu.
func (v *View) correct(now time.Time, u *registrar.Upstream, model string, version uint64) {
	for id, c := range v.corrections {
		if now.After(c.expiresAt) {
			delete(v.corrections, id)
		}
	}
	v.corrections[u.ID] = correction{startedAt: u.StartedAt, model: model, version: version, expiresAt: now.Add(correctionTTL)}
}

// correctedVersion returns the version that a correction in force names. The caller
// holds v.mu.
func (v *View) correctedVersion(now time.Time, u *registrar.Upstream, model string) (uint64, bool) {
	c, ok := v.corrections[u.ID]
	if !ok || c.model != model || !c.startedAt.Equal(u.StartedAt) || now.After(c.expiresAt) {
		return 0, false
	}
	return c.version, true
}
