// Package listener reads the cache events of engines while its VM is the hub.
package listener

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/caching/cataloguer"
	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/operating/pauser"
)

const (
	// superviseEvery is how often the set of engines is looked at.
	superviseEvery = 250 * time.Millisecond
	// eventsWait is how long one call waits for an event.
	eventsWait = 900 * time.Millisecond
	// eventsPace is the pause between calls, so that events come together.
	eventsPace = 150 * time.Millisecond
	// callTimeout bounds one call beyond its wait.
	callTimeout = time.Second
	// retryAfter is the wait after a failed call.
	retryAfter = 300 * time.Millisecond
)

// Event tells how much of a part is held now.
type Event struct {
	Part   cataloguer.Part
	Tokens int
}

// Batch is the answer to one call for events.
type Batch struct {
	// Epoch changes when the engine starts again.
	Epoch uint64
	// Next is where the following call continues.
	Next uint64
	// Lost is true where events before these are no longer available.
	Lost   bool
	Events []Event
}

// Source reads the cache events of an engine.
type Source interface {
	// Events returns the events since a number, waiting for some.
	Events(ctx context.Context, address netip.AddrPort, since uint64, wait time.Duration) (Batch, error)
	// List returns all that an engine holds.
	List(ctx context.Context, address netip.AddrPort) (Batch, error)
}

// Sink takes what engines hold.
type Sink interface {
	SetCached(upstream string, part cataloguer.Part, tokens int)
	Forget(upstream string)
}

// Config holds what a Listener is built from.
type Config struct {
	// Active reports whether this VM is the one that reads events.
	Active  func() bool
	Engines func() []*registrar.Upstream
	Source  Source
	Sink    Sink
	// Wanted reports whether a part is worth knowing.
	Wanted func(Event) bool
	Log    *logrus.Entry
}

// Listener reads the events of all engines.
type Listener struct {
	cfg Config

	mu      sync.Mutex
	readers map[string]context.CancelFunc
}

// New returns a Listener that reads nothing yet.
func New(cfg Config) *Listener {
	return &Listener{cfg: cfg, readers: make(map[string]context.CancelFunc)}
}

// Run keeps one reader for each engine until ctx ends.
func (l *Listener) Run(ctx context.Context) {
	ticker := time.NewTicker(superviseEvery)
	defer ticker.Stop()
	for {
		l.supervise(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// supervise starts and stops readers.
func (l *Listener) supervise(ctx context.Context) {
	wanted := make(map[string]*registrar.Upstream)
	if l.cfg.Active() {
		for _, u := range l.cfg.Engines() {
			wanted[u.ID+"@"+u.Address.String()+u.StartedAt.String()] = u
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, stop := range l.readers {
		if wanted[key] == nil {
			stop()
			delete(l.readers, key)
		}
	}
	for key, u := range wanted {
		if l.readers[key] != nil {
			continue
		}
		reading, stop := context.WithCancel(ctx)
		l.readers[key] = stop
		go l.loop(reading, u)
	}
}

// loop reads the events of one engine until ctx ends.
func (l *Listener) loop(ctx context.Context, u *registrar.Upstream) {
	l.cfg.Sink.Forget(u.ID)
	defer l.cfg.Sink.Forget(u.ID)
	since, epoch := uint64(0), uint64(0)
	for ctx.Err() == nil {
		batch, err := l.events(ctx, u, since)
		if err != nil {
			pauser.Pause(ctx, retryAfter)
			continue
		}
		if epoch != 0 && batch.Epoch != epoch {
			since, epoch = 0, 0
			l.cfg.Sink.Forget(u.ID)
			continue
		}
		if batch.Lost && since != 0 {
			batch = l.relist(ctx, u, batch)
		}
		for _, e := range batch.Events {
			if l.cfg.Wanted(e) {
				l.cfg.Sink.SetCached(u.ID, e.Part, e.Tokens)
			}
		}
		since, epoch = batch.Next, batch.Epoch
		pauser.Pause(ctx, eventsPace)
	}
}

func (l *Listener) events(ctx context.Context, u *registrar.Upstream, since uint64) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, eventsWait+callTimeout)
	defer cancel()
	return l.cfg.Source.Events(ctx, u.Address, since, eventsWait)
}

// relist replaces what is known of an engine whose events have a gap.
func (l *Listener) relist(ctx context.Context, u *registrar.Upstream, batch Batch) Batch {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := l.cfg.Source.List(ctx, u.Address)
	l.cfg.Log.WithFields(logrus.Fields{
		"event":    "cache_events_lost",
		"upstream": u.ID,
		"listed":   err == nil,
	}).Info("cache events have a gap")
	l.cfg.Sink.Forget(u.ID)
	if err != nil {
		return batch
	}
	return list
}
