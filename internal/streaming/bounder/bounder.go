// Package bounder reads the bodies of responses into memory, within a limit for each and
// one for all that are read at the same time.
package bounder

import (
	"errors"
	"fmt"
	"io"

	"golang.org/x/sync/semaphore"
)

const (
	// firstBytes is the size of the first buffer of a body. It does not count towards
	// the limit of all bodies, so that short ones can be read at any time.
	firstBytes = 16 << 10
	// growth is the factor by which a buffer grows.
	growth = 2
)

var (
	// ErrTooLarge is returned for a body that exceeds its limit.
	ErrTooLarge = errors.New("body exceeds its size limit")
	// ErrNoMemory is returned for a body that would exceed the limit of all bodies.
	ErrNoMemory = errors.New("bodies that are being read exceed their memory limit")
)

// Bounder limits the memory of the bodies that are read at the same time. A nil Bounder
// limits each body alone. It is safe for concurrent use.
type Bounder struct {
	memory *semaphore.Weighted
}

// New returns a Bounder for a number of bytes; 0 sets no limit.
func New(memory int64) *Bounder {
	if memory <= 0 {
		return nil
	}
	return &Bounder{memory: semaphore.NewWeighted(memory)}
}

// Body is a body in memory. Release must be called once Data is no longer used.
type Body struct {
	Data    []byte
	bounder *Bounder
	held    int64
}

// Release returns the memory of the body.
func (b *Body) Release() {
	b.bounder.release(b.held)
	b.Data, b.held = nil, 0
}

// ReadAll reads a body of at most limit bytes to its end.
func (b *Bounder) ReadAll(r io.Reader, limit int) (*Body, error) {
	body := &Body{Data: make([]byte, 0, min(firstBytes, limit+1)), bounder: b}
	for {
		n, err := r.Read(body.Data[len(body.Data):cap(body.Data)])
		body.Data = body.Data[:len(body.Data)+n]
		switch {
		case len(body.Data) > limit:
			body.Release()
			return nil, fmt.Errorf("read more than %d bytes: %w", limit, ErrTooLarge)
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			body.Release()
			return nil, err
		}
		if len(body.Data) == cap(body.Data) {
			if err := body.grow(limit); err != nil {
				body.Release()
				return nil, err
			}
		}
	}
}

// grow moves the body to a larger buffer, which holds one byte more than the limit at
// most. Both buffers are in memory until the body is copied.
func (b *Body) grow(limit int) error {
	size := min(growth*cap(b.Data), limit+1)
	if !b.bounder.acquire(int64(size)) {
		return fmt.Errorf("read more than %d bytes: %w", len(b.Data), ErrNoMemory)
	}
	larger := make([]byte, len(b.Data), size)
	copy(larger, b.Data)
	b.bounder.release(b.held)
	b.Data, b.held = larger, int64(size)
	return nil
}

func (b *Bounder) acquire(size int64) bool { return b == nil || b.memory.TryAcquire(size) }

func (b *Bounder) release(size int64) {
	if b != nil && size > 0 {
		b.memory.Release(size)
	}
}
