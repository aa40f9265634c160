// Package buffer provides a bounded queue between the goroutine that reads a
// stream from an upstream and the goroutine that writes it to the caller.
package buffer

import (
	"context"
	"sync"
)

// Ring is a bounded first-in first-out queue with one writer and one reader. A
// full ring blocks its writer, so that a slow reader exerts back-pressure.
type Ring[T any] struct {
	mu     sync.Mutex
	slots  []T
	head   int // index of the oldest value
	count  int
	closed bool
	err    error
	// changed is closed and replaced at each change, to wake a blocked writer or
	// reader.
	changed chan struct{}
}

// New returns an empty ring of n slots.
func New[T any](n int) *Ring[T] {
	return &Ring[T]{slots: make([]T, n), changed: make(chan struct{})}
}

// Push appends v. It blocks while the ring is full and returns the cause of ctx
// if ctx ends first.
func (r *Ring[T]) Push(ctx context.Context, v T) error {
	for {
		r.mu.Lock()
		if r.count < len(r.slots) {
			r.slots[(r.head+r.count)%len(r.slots)] = v
			r.count++
			r.notifyWaiters()
			r.mu.Unlock()
			return nil
		}
		changed := r.changed
		r.mu.Unlock()
		if err := waitForChange(ctx, changed); err != nil {
			return err
		}
	}
}

// CloseWithError marks the end of the queue with the error that Pop returns after
// the last value; err is nil if the stream is complete.
func (r *Ring[T]) CloseWithError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.err = err
	r.notifyWaiters()
}

// Pop removes and returns the oldest value. It blocks while the ring is empty and
// returns the cause of ctx if ctx ends first. After the end of the queue and its
// last value, the second result is false and the error is that of CloseWithError.
func (r *Ring[T]) Pop(ctx context.Context) (T, bool, error) {
	var zero T
	for {
		r.mu.Lock()
		if r.count > 0 {
			v := r.slots[r.head]
			r.slots[r.head] = zero
			r.head = (r.head + 1) % len(r.slots)
			r.count--
			r.notifyWaiters()
			r.mu.Unlock()
			return v, true, nil
		}
		closed, err, changed := r.closed, r.err, r.changed
		r.mu.Unlock()
		if closed {
			return zero, false, err
		}
		if err := waitForChange(ctx, changed); err != nil {
			return zero, false, err
		}
	}
}

// Len returns the number of values in the queue.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// notifyWaiters wakes a blocked Push or Pop. The caller must hold mu.
func (r *Ring[T]) notifyWaiters() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// waitForChange blocks until changed is closed or ctx ends.
func waitForChange(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
