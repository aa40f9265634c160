// Package throttler keeps requests within the limits that upstreams state: how many
// requests a second an upstream takes from all VMs together. It does no I/O and reads no
// clock.
package throttler

import (
	"time"

	"gentianstep.example/gentianstep/internal/membership/registrar"
)

// Process identifies one process of an upstream. It is comparable.
type Process struct {
	Upstream string
	// StartedMillis is its start in Unix milliseconds, 0 if unknown.
	StartedMillis int64
}

// ProcessOf returns the process of an entry.
func ProcessOf(u *registrar.Upstream) Process {
	return Process{Upstream: u.ID, StartedMillis: registrar.StartMillis(u.StartedAt)}
}

// Statement is what a response says about the limit of its upstream.
type Statement struct {
	// Stated is false if the response says nothing: neither a limit, nor that there is none.
	Stated bool
	// Limited is false if there is no limit.
	Limited bool
	// PerSecond is the limit in requests a second, over all VMs.
	PerSecond float64
	// SentAt is when the attempt to send the request began, At when its response was received.
	SentAt time.Time
	At     time.Time
}

// limit is the limit that a process has stated.
type limit struct {
	perSecond float64
	// statedAt is when the latest response with a limit was received.
	statedAt time.Time
}

// apply applies a statement to l, which is nil without a limit, and returns the result.
// Responses overtake each other, so that only one to a request that was sent after the
// latest statement raises a limit or ends it.
func (l *limit) apply(s Statement) *limit {
	switch {
	case !s.Stated:
		return l
	case l == nil && !s.Limited:
		return nil
	case l == nil:
		return &limit{s.PerSecond, s.At}
	}
	later := !s.SentAt.Before(l.statedAt)
	lower := s.At.After(l.statedAt) && s.PerSecond < l.perSecond
	switch {
	case !s.Limited && later:
		return nil
	case s.Limited && (later || lower || s.PerSecond == l.perSecond):
		return &limit{s.PerSecond, laterTime(s.At, l.statedAt)}
	}
	return l
}

// endings holds the processes whose limit has ended, with the time at which the request was
// sent whose response has shown it. Other VMs repeat an earlier statement until the end
// has reached them.
type endings map[Process]time.Time

// apply applies a statement of a process with the limit l, and returns the result.
func (e endings) apply(p Process, l *limit, s Statement) *limit {
	if at, ended := e[p]; ended && l == nil && s.Limited && !s.At.After(at) {
		return nil
	}
	after := l.apply(s)
	switch {
	case after != nil:
		delete(e, p)
	case l != nil:
		dropOldest(e, func(at time.Time) time.Time { return at })
		e[p] = s.SentAt
	}
	return after
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// statement returns a statement that repeats the limit.
func (l *limit) statement() Statement {
	return Statement{Stated: true, Limited: true, PerSecond: l.perSecond, SentAt: l.statedAt, At: l.statedAt}
}
