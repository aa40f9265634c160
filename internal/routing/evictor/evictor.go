// Package evictor decides which requests are ended when the memory for the bytes of clients
// is short.
package evictor

import (
	"cmp"
	"slices"
	"time"
)

const (
	// stallTime is how long a client that sends nothing keeps its memory while memory is
	// short. It covers the retransmission of a lost packet.
	stallTime = time.Second
	// minBytesPerSecond is the rate below which a client loses its memory while memory is
	// short. A body of 4 MiB takes 128 s at this rate, longer than any route allows.
	minBytesPerSecond = 32 << 10
	// slowTime is how long a client may stay below minBytesPerSecond.
	slowTime = 3 * time.Second
)

// Reason is why a request is evicted.
type Reason string

// Reasons of evictions.
const (
	Stalled Reason = "stalled"
	Slow    Reason = "slow"
)

// Progress is the progress of a request that is being received.
type Progress struct {
	// StalledAt is when the request counts as stalled if no byte follows.
	StalledAt time.Time
	// SlowAt is when it counts as slow. Each byte defers it, up to slowTime from its arrival.
	SlowAt time.Time
}

// NewProgress returns the progress of a request whose first byte is awaited.
func NewProgress(now time.Time) Progress {
	return Progress{StalledAt: now.Add(stallTime), SlowAt: now.Add(slowTime)}
}

// Record records the arrival of n bytes.
func (p *Progress) Record(now time.Time, n int) {
	p.StalledAt = now.Add(stallTime)
	p.SlowAt = p.SlowAt.Add(time.Duration(n) * time.Second / minBytesPerSecond)
	if latest := now.Add(slowTime); p.SlowAt.After(latest) {
		p.SlowAt = latest
	}
}

// Request is a request that holds memory.
type Request struct {
	Bytes    int64
	Progress Progress
	// Complete is true if the request has been read completely, so that an upstream may run it.
	Complete bool
}

// Eviction is a request that is to be evicted.
type Eviction struct {
	// Index is that of the request in the list.
	Index  int
	Reason Reason
}

// Choose returns the requests whose eviction frees the bytes needed, those with the most
// memory first. It returns none if all that may be evicted hold less. Complete requests and
// those that make progress are never evicted.
func Choose(now time.Time, needed int64, requests []Request) []Eviction {
	var candidates []Eviction
	var available int64
	for i, r := range requests {
		if reason := evictionReason(now, r); reason != "" {
			candidates = append(candidates, Eviction{i, reason})
			available += r.Bytes
		}
	}
	if available < needed {
		return nil
	}
	slices.SortFunc(candidates, func(a, b Eviction) int {
		x, y := requests[a.Index], requests[b.Index]
		return cmp.Or(cmp.Compare(y.Bytes, x.Bytes), x.Progress.StalledAt.Compare(y.Progress.StalledAt), cmp.Compare(a.Index, b.Index))
	})
	for n, c := range candidates {
		if needed <= 0 {
			return candidates[:n]
		}
		needed -= requests[c.Index].Bytes
	}
	return candidates
}

// evictionReason returns why a request may be evicted, or an empty Reason.
func evictionReason(now time.Time, r Request) Reason {
	switch {
	case r.Complete || r.Bytes == 0:
		return ""
	case !now.Before(r.Progress.StalledAt):
		return Stalled
	case !now.Before(r.Progress.SlowAt):
		return Slow
	}
	return ""
}
