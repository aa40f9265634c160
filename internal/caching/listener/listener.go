// Package listener polls the engines for cache events while its VM is the hub.
package listener

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/caching/cataloguer"
	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/operating/pauser"
)

const (
	// reconcileInterval is the interval between updates of the set of readers.
	reconcileInterval = 250 * time.Millisecond
	// longPollWait is how long an engine may hold a call until there are events.
	longPollWait = 900 * time.Millisecond
	// pollInterval is the pause between calls, in which events accumulate.
	pollInterval = 150 * time.Millisecond
	// callTimeout bounds a call, in addition to the long-poll wait.
	callTimeout = time.Second
	// minRetryDelay is the delay after a failed call. It doubles up to maxRetryDelay while
	// an engine answers with bytes that are no response, which may be many.
	minRetryDelay = 300 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// ErrNoResponse is returned by a Source if an engine has sent bytes that are no response.
var ErrNoResponse = errors.New("engine has sent bytes that are no response")

// Event reports the number of tokens of a part that an engine now holds.
type Event struct {
	Part   cataloguer.Part
	Tokens int
}

// Batch is the response to one call for events.
type Batch struct {
	// Epoch changes when the engine restarts.
	Epoch uint64
	// Next is the position to pass to the next call.
	Next uint64
	// Lost is true if events between the requested position and this batch are no
	// longer available.
	Lost   bool
	Events []Event
}

// Source reads the cache events of an engine.
type Source interface {
	// Events returns the events since a position, which is 0 or the Next of an
	// earlier batch. If there are none yet, it waits for up to wait.
	Events(ctx context.Context, u *registrar.Upstream, since uint64, wait time.Duration) (Batch, error)
	// List returns all parts that an engine holds.
	List(ctx context.Context, u *registrar.Upstream) (Batch, error)
}

// Sink stores which parts the engines hold.
type Sink interface {
	// SetCached sets the number of tokens of a part that an upstream holds.
	SetCached(upstream string, part cataloguer.Part, tokens int)
	// RemoveUpstream removes all parts of an upstream.
	RemoveUpstream(upstream string)
}

// Config configures a Listener.
type Config struct {
	// Active reports whether this VM is the hub, which reads the events.
	Active func() bool
	// Engines returns the engines to read events from.
	Engines func() []*registrar.Upstream
	Source  Source
	Sink    Sink
	// Filter reports whether an event is passed to Sink.
	Filter func(Event) bool
	Log    *logrus.Entry
}

// Listener reads the cache events of all engines.
type Listener struct {
	cfg Config

	mu sync.Mutex
	// readers holds the function that stops each reader, by engine, address and
	// start time.
	readers map[string]context.CancelFunc
}

// New returns a Listener without readers.
func New(cfg Config) *Listener {
	return &Listener{cfg: cfg, readers: make(map[string]context.CancelFunc)}
}

// Run maintains one reader for each engine until ctx is done.
func (l *Listener) Run(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		l.reconcile(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// reconcile starts the missing readers and stops those of engines that left or
// restarted. It stops all readers while the listener is not active.
func (l *Listener) reconcile(ctx context.Context) {
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
		readerCtx, stop := context.WithCancel(ctx)
		l.readers[key] = stop
		go l.readEvents(readerCtx, u)
	}
}

// readEvents passes the events of an engine to the sink until ctx is done. It removes
// the parts of the engine from the sink at its start and end, and when the engine
// restarts.
func (l *Listener) readEvents(ctx context.Context, u *registrar.Upstream) {
	l.cfg.Sink.RemoveUpstream(u.ID)
	defer l.cfg.Sink.RemoveUpstream(u.ID)
	since, epoch := uint64(0), uint64(0)
	retryDelay := time.Duration(0)
	for ctx.Err() == nil {
		batch, err := l.fetchEvents(ctx, u, since)
		if err != nil {
			retryDelay = nextRetryDelay(retryDelay, err)
			pauser.Pause(ctx, retryDelay)
			continue
		}
		retryDelay = 0
		if epoch != 0 && batch.Epoch != epoch {
			since, epoch = 0, 0
			l.cfg.Sink.RemoveUpstream(u.ID)
			continue
		}
		if batch.Lost && since != 0 {
			batch = l.relist(ctx, u, batch)
		}
		for _, e := range batch.Events {
			if l.cfg.Filter(e) {
				l.cfg.Sink.SetCached(u.ID, e.Part, e.Tokens)
			}
		}
		since, epoch = batch.Next, batch.Epoch
		pauser.Pause(ctx, pollInterval)
	}
}

// nextRetryDelay returns the delay after a call that failed with err; last is the one after
// the call before, 0 if that succeeded.
func nextRetryDelay(last time.Duration, err error) time.Duration {
	if !errors.Is(err, ErrNoResponse) {
		return minRetryDelay
	}
	return min(max(2*last, minRetryDelay), maxRetryDelay)
}

// fetchEvents requests the events of an engine since a position.
func (l *Listener) fetchEvents(ctx context.Context, u *registrar.Upstream, since uint64) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, longPollWait+callTimeout)
	defer cancel()
	return l.cfg.Source.Events(ctx, u, since, longPollWait)
}

// relist removes the parts of an engine that lost events from the sink and returns
// the full list of its parts. If the call for the list fails, it returns batch.
func (l *Listener) relist(ctx context.Context, u *registrar.Upstream, batch Batch) Batch {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := l.cfg.Source.List(ctx, u)
	l.cfg.Log.WithFields(logrus.Fields{
		"event":    "cache_events_lost",
		"upstream": u.ID,
		"listed":   err == nil,
	}).Info("cache events of the engine were lost; requested the list of its cached parts")
	l.cfg.Sink.RemoveUpstream(u.ID)
	if err != nil {
		return batch
	}
	return list
}
