package noticer

import (
	"time"

	"gentianstep.example/gentianstep/internal/membership/registrar"
)

// Split is a list of upstreams divided by their access.
type Split struct {
	Open       []*registrar.Upstream
	LastResort []*registrar.Upstream
	// ClosesAt is the earliest end of the drain period of LastResort, zero if there
	// is none.
	ClosesAt time.Time
	// Unverified is true if an upstream may become open once it was checked; see
	// Noticer.Unverified.
	Unverified bool
	// Paced is true if an upstream becomes open once it accepts a request that
	// was sent after the end of its hold-off.
	Paced bool
	// BackAt is the earliest end of a hold-off, zero if there is none.
	BackAt time.Time
	// Limited holds the upstreams that take no request of this VM now since they have a
	// limit, and LimitPerSecond is this VM's even share of their limits.
	Limited        []*registrar.Upstream
	LimitPerSecond float64
}

func (s *Split) addLastResort(u *registrar.Upstream, until time.Time) {
	s.LastResort = append(s.LastResort, u)
	if s.ClosesAt.IsZero() || until.Before(s.ClosesAt) {
		s.ClosesAt = until
	}
}

func (s *Split) addHeld(until time.Time) {
	if s.BackAt.IsZero() || until.Before(s.BackAt) {
		s.BackAt = until
	}
}
