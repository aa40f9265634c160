// Package reserver is the memory budget of a process for the bytes that it holds for
// clients: bodies of requests and buffers of responses.
package reserver

import (
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/routing/evictor"
)

const (
	// SmallBytes is the size up to which a request always gets memory, so that ordinary
	// requests are served while the budget is exhausted. The limit of connections bounds
	// the sum.
	SmallBytes = 16 << 10
	// mediumBytes is the size up to which a request may use the whole budget. Larger ones
	// leave a part of it, so that they do not crowd out prompts of usual length.
	mediumBytes = 128 << 10
	// largeShare is the share of the budget that requests over mediumBytes may use.
	largeShare = 0.75
	// logInterval is the least time between two log lines.
	logInterval = time.Second
	// reasonRefused is the reason in logs and metrics of a request that got no memory.
	reasonRefused = "refused"
)

var (
	// ErrNoMemory is returned for bytes that would exceed the budget.
	ErrNoMemory = errors.New("the memory for requests is in use")
	// ErrEvicted is returned for a request whose memory was given to others.
	ErrEvicted = errors.New("the request came too slowly while memory was short")
)

// Config configures a Reserver.
type Config struct {
	// Bytes is the size of the budget; 0 sets no limit.
	Bytes int64
	Meter *meter.Meter
	Log   *logrus.Entry
}

// Reserver is a memory budget. A nil Reserver sets no limit. It is safe for concurrent use.
type Reserver struct {
	cfg Config

	mu           sync.Mutex
	held         int64
	reservations map[*Reservation]struct{}
	// logAt is when the next line may be logged, unlogged the number of events since the
	// last one.
	logAt    time.Time
	unlogged int
}

// New returns a Reserver, nil if the configuration sets no limit.
func New(cfg Config) *Reserver {
	if cfg.Bytes <= 0 {
		return nil
	}
	return &Reserver{cfg: cfg, reservations: make(map[*Reservation]struct{})}
}

// Held returns the number of reserved bytes.
func (r *Reserver) Held() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held
}

// OpenRequest returns the reservation of a request that is being received. If the request
// is evicted, evict is called, which must end its reading without waiting.
func (r *Reserver) OpenRequest(evict func()) *Reservation {
	return &Reservation{reserver: r, evict: evict, progress: evictor.NewProgress(time.Now())}
}

// OpenBuffer returns the reservation of a buffer that is not evicted.
func (r *Reserver) OpenBuffer() *Reservation {
	return &Reservation{reserver: r, complete: true}
}

// makeRoom evicts requests so that a reservation can grow by n bytes, and reports whether it
// may. The caller holds mu.
//
// The bytes of an evicted request are free at once, though it takes its goroutine a moment
// to end. The part of the memory limit that is not in the budget covers them.
func (r *Reserver) makeRoom(v *Reservation, n int64) bool {
	available := r.cfg.Bytes
	if v.bytes+n > mediumBytes {
		available = int64(largeShare * float64(r.cfg.Bytes))
	}
	needed := r.held + n - available
	if needed <= 0 {
		return true
	}
	if r.evict(v, needed) || v.bytes+n <= SmallBytes {
		return true
	}
	r.record(reasonRefused, n)
	return false
}

// evict evicts requests other than v that hold the needed bytes, or none if all hold less.
func (r *Reserver) evict(v *Reservation, needed int64) bool {
	var list []*Reservation
	var requests []evictor.Request
	for other := range r.reservations {
		if other != v {
			list = append(list, other)
			requests = append(requests, evictor.Request{Bytes: other.bytes, Progress: other.progress, Complete: other.complete})
		}
	}
	evictions := evictor.Choose(time.Now(), needed, requests)
	for _, e := range evictions {
		victim := list[e.Index]
		r.record(string(e.Reason), victim.bytes)
		victim.evicted = true
		r.remove(victim)
		victim.evict()
	}
	return len(evictions) > 0
}

// remove returns the bytes of a reservation to the budget. The caller holds mu.
func (r *Reserver) remove(v *Reservation) {
	r.held -= v.bytes
	v.bytes = 0
	delete(r.reservations, v)
}

// record counts a refusal or an eviction, and logs it unless the latest line is too recent.
// The caller holds mu.
func (r *Reserver) record(reason string, bytes int64) {
	r.cfg.Meter.Count(meter.MemoryShort, reason, 1)
	now := time.Now()
	if now.Before(r.logAt) {
		r.unlogged++
		return
	}
	r.cfg.Log.WithFields(logrus.Fields{
		"event":        "memory_short",
		"reason":       reason,
		"bytes":        bytes,
		"held_bytes":   r.held,
		"budget_bytes": r.cfg.Bytes,
		"unlogged":     r.unlogged,
	}).Warn("memory for requests is short: a request was refused or evicted")
	r.logAt, r.unlogged = now.Add(logInterval), 0
}
