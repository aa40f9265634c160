// Package buffer joins the goroutine that reads a stream to the one that
// writes it.
package buffer

import (
	"context"
	"sync"
)

// Ring is a bounded queue with one writer and one reader. A full ring holds
// its writer back.
type Ring[T any] struct {
	mu     sync.Mutex
	slots  []T
	first  int
	filled int
	ended  bool
	err    error
	// changed wakes the side that waits.
	changed chan struct{}
}

// New returns an empty ring of n slots.
func New[T any](n int) *Ring[T] {
	return &Ring[T]{slots: make([]T, n), changed: make(chan struct{})}
}

// Push appends v once there is room.
func (r *Ring[T]) Push(ctx context.Context, v T) error {
	for {
		r.mu.Lock()
		if r.filled < len(r.slots) {
			r.slots[(r.first+r.filled)%len(r.slots)] = v
			r.filled++
			r.wake()
			r.mu.Unlock()
			return nil
		}
		changed := r.changed
		r.mu.Unlock()
		if err := wait(ctx, changed); err != nil {
			return err
		}
	}
}

// End marks the end of the queue; err is nil for a whole one.
func (r *Ring[T]) End(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	r.err = err
	r.wake()
}

// Pop returns the oldest value. The second result is false once the queue has
// ended and is empty, with the error given to End.
func (r *Ring[T]) Pop(ctx context.Context) (T, bool, error) {
	var none T
	for {
		r.mu.Lock()
		if r.filled > 0 {
			v := r.slots[r.first]
			r.slots[r.first] = none
			r.first = (r.first + 1) % len(r.slots)
			r.filled--
			r.wake()
			r.mu.Unlock()
			return v, true, nil
		}
		ended, err, changed := r.ended, r.err, r.changed
		r.mu.Unlock()
		if ended {
			return none, false, err
		}
		if err := wait(ctx, changed); err != nil {
			return none, false, err
		}
	}
}

// Len returns the number of values that wait.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.filled
}

func (r *Ring[T]) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func wait(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
