// Package reserver is the memory budget of a process for all that it holds for clients:
// connections, heads and bodies of requests, and buffers of responses.
package reserver

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/routing/evictor"
)

const (
	// ConnectionBytes is the memory of an open connection: its goroutines, its buffers, a head
	// that costs up to HeadAllowance, and a body of up to tinyBytes.
	ConnectionBytes = 24 << 10
	// HeadAllowance is the cost of a head that ConnectionBytes includes, see HeadCost.
	HeadAllowance = 4 << 10
	// EncryptedBytes is the further memory of a connection with TLS.
	EncryptedBytes = 32 << 10
	// tinyBytes is the size up to which a request always gets memory, so that ordinary requests
	// are served while the budget is exhausted. Its connection has reserved that.
	tinyBytes = 2 << 10
	// SmallBytes is the size up to which a request may use smallShare of the budget more than
	// all of it, so that larger ones and connections leave a part for it.
	SmallBytes = 16 << 10
	smallShare = 0.125
	// mediumBytes is the size up to which a request may use the whole budget. Larger ones
	// leave a part of it, so that they do not crowd out prompts of usual length.
	mediumBytes = 128 << 10
	// largeShare is the share of the budget that requests over mediumBytes may use.
	largeShare = 0.75
	// headByteCost and headLineCost are the memory of a byte and of a line of a head, with the
	// entries that net/http makes for a field and the copy that is sent to an upstream.
	headByteCost = 3
	headLineCost = 256
	// encryptedByteCost is the memory of an encrypted byte of a head, whose lines are not known.
	encryptedByteCost = 16
	// scanInterval is the time from a search for evictable reservations that has found too few to
	// the next one.
	scanInterval = 20 * time.Millisecond
	// surplusShare is the share of the budget that is freed for a connection beyond what it
	// needs, so that not each one of a crowd searches all reservations.
	surplusShare = 1.0 / 64
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
	// Bytes is the size of the budget; 0 sets no limit. See Total.
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
	// scanAt is when the reservations may be searched again.
	scanAt time.Time
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

// OpenConnection returns the reservation of a connection, whose memory is ConnectionBytes and
// the cost of its head. If it is evicted, evict is called, which must end the connection
// without waiting.
func (r *Reserver) OpenConnection(evict func()) *Reservation {
	v := r.OpenRequest(evict)
	v.connection = true
	return v
}

// connectionKey is the context key of the reservation of a connection.
type connectionKey struct{}

// WithConnection returns a context for the requests of a connection; see Reservation.Join.
func WithConnection(ctx context.Context, connection *Reservation) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// OpenBuffer returns the reservation of a buffer that is not evicted.
func (r *Reserver) OpenBuffer() *Reservation {
	return &Reservation{reserver: r, complete: true}
}

// Total returns how much a Reserver with a budget grants in sum.
func Total(budget int64) int64 { return budget + int64(smallShare*float64(budget)) }

// BudgetFor returns the budget of a Reserver that grants total bytes in sum.
func BudgetFor(total int64) int64 { return int64(float64(total) / (1 + smallShare)) }

// HeadCost returns the memory of a part of a head.
func HeadCost(part []byte) int64 {
	return headByteCost*int64(len(part)) + headLineCost*int64(bytes.Count(part, []byte{'\n'}))
}

// EncryptedHeadCost returns the memory of a part of a head of n encrypted bytes.
func EncryptedHeadCost(n int) int64 { return encryptedByteCost * int64(n) }

// makeRoom evicts requests so that a reservation of a size can grow by n bytes, and reports
// whether it may. The caller holds mu.
//
// The bytes of an evicted request are free at once, though it takes its goroutine a moment
// to end. The part of the memory limit that is not in the budget covers them.
func (r *Reserver) makeRoom(v *Reservation, n, size int64) bool {
	available := r.available(v, size)
	needed := r.held + n - available
	if needed <= 0 {
		return true
	}
	if r.evict(v, needed) || !v.connection && v.bytes+n <= tinyBytes {
		return true
	}
	r.record(reasonRefused, n)
	return false
}

// available returns how much may be held in sum if a reservation of a size grows.
func (r *Reserver) available(v *Reservation, size int64) int64 {
	switch {
	case v.connection || size > SmallBytes && size <= mediumBytes:
		return r.cfg.Bytes
	case size <= SmallBytes:
		return Total(r.cfg.Bytes)
	}
	return int64(largeShare * float64(r.cfg.Bytes))
}

// evict evicts requests and connections other than v that hold the needed bytes, or none if
// all hold less. A request is evicted with its connection.
func (r *Reserver) evict(v *Reservation, needed int64) bool {
	now := time.Now()
	if now.Before(r.scanAt) {
		return false
	}
	var list []*Reservation
	var requests []evictor.Request
	for other := range r.reservations {
		if other != v && other != v.parent {
			list = append(list, other)
			requests = append(requests, evictor.Request{Bytes: other.bytes + other.parentBytes(), Progress: other.progress, Complete: other.complete})
		}
	}
	var evictions []evictor.Eviction
	if v.connection {
		evictions = evictor.Choose(now, needed+int64(surplusShare*float64(r.cfg.Bytes)), requests)
	}
	if len(evictions) == 0 {
		evictions = evictor.Choose(now, needed, requests)
	}
	for _, e := range evictions {
		victim := list[e.Index]
		r.record(string(e.Reason), requests[e.Index].Bytes)
		victim.evicted = true
		r.remove(victim)
		if victim.parent != nil {
			r.remove(victim.parent)
		}
		victim.evict()
	}
	if len(evictions) == 0 {
		r.scanAt = now.Add(scanInterval)
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
