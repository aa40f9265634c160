package forwarder

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// waiter is a request that waits for a place at an upstream.
type waiter struct {
	rank     int
	deadline time.Time
	// turn is closed when the request may try again.
	turn chan struct{}
}

// line holds the requests that wait for a place in one service, most urgent
// first, and of those the one with the least time left: it has come back.
type line struct {
	waiters []*waiter
}

func (l *line) add(w *waiter) {
	i, _ := slices.BinarySearchFunc(l.waiters, w, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), a.deadline.Compare(b.deadline))
	})
	l.waiters = slices.Insert(l.waiters, i, w)
}

func (l *line) remove(w *waiter) {
	if i := slices.Index(l.waiters, w); i >= 0 {
		l.waiters = slices.Delete(l.waiters, i, i+1)
	}
}

// wake lets the first one try again.
func (l *line) wake() {
	if len(l.waiters) == 0 {
		return
	}
	w := l.waiters[0]
	l.waiters = slices.Delete(l.waiters, 0, 1)
	close(w.turn)
}

// wait returns when a place may be free, or false at the deadline or when the
// client has gone. The caller holds the lock, which is released meanwhile.
func (f *Forwarder) wait(ctx context.Context, service string, w *waiter, deadline time.Time) bool {
	l, ok := f.lines[service]
	if !ok {
		l = &line{}
		f.lines[service] = l
	}
	w.turn = make(chan struct{})
	l.add(w)
	f.mu.Unlock()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	woken := false
	select {
	case <-w.turn:
		woken = true
	case <-timer.C:
	case <-ctx.Done():
	}
	f.mu.Lock()
	if !woken {
		select {
		case <-w.turn:
			l.wake() // the turn goes to the next one
		default:
			l.remove(w)
		}
	}
	return woken && ctx.Err() == nil
}

// release frees the place of a request at an upstream.
func (x *exchange) release() {
	x.begun()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.picker.Done(x.choice)
	if l, ok := x.lines[x.service]; ok {
		l.wake()
	}
}

// begun notes that the upstream has read the prompt.
// It reports false where that was noted before.
func (x *exchange) begun() bool {
	if !x.reading {
		return false
	}
	x.reading = false
	x.mu.Lock()
	defer x.mu.Unlock()
	x.picker.Begun(x.choice)
	if l, ok := x.lines[x.service]; ok {
		l.wake()
	}
	return true
}
