package reserver

import (
	"cmp"
	"context"
	"errors"
	"io"
	"time"

	"gentianstep.example/gentianstep/internal/routing/evictor"
)

// growth is the factor by which a buffer grows.
const growth = 2

// ErrFull is returned for bytes that exceed the limit of a read.
var ErrFull = errors.New("the limit of the buffer is reached")

// Reservation is the memory that is held for one request or response.
type Reservation struct {
	reserver *Reserver
	evict    func()
	// connection is true for that of a connection, parent is the connection of a request, or
	// nil.
	connection bool
	parent     *Reservation

	// The following fields are guarded by reserver.mu.
	bytes    int64
	progress evictor.Progress
	// complete is true if the reservation is not evicted.
	complete bool
	evicted  bool
}

// Reserve reserves n bytes more. It returns ErrNoMemory or ErrEvicted if they are not
// available.
func (v *Reservation) Reserve(n int64) error { return v.reserve(n, 0) }

// reserve reserves n bytes more for a request of a size, by default of all its bytes.
func (v *Reservation) reserve(n, size int64) error {
	if v.reserver == nil {
		return nil
	}
	v.reserver.mu.Lock()
	defer v.reserver.mu.Unlock()
	switch {
	case v.evicted:
		return ErrEvicted
	case !v.reserver.makeRoom(v, n, cmp.Or(size, v.bytes+n)):
		return ErrNoMemory
	}
	v.add(n)
	return nil
}

// Join makes the request part of the connection in ctx, if any. A request is evicted with its
// connection. Join must be called before the first bytes are reserved.
func (v *Reservation) Join(ctx context.Context) {
	if connection, ok := ctx.Value(connectionKey{}).(*Reservation); ok && connection.reserver == v.reserver {
		v.parent = connection
	}
}

// parentBytes returns the memory of the connection of a request. The caller holds reserver.mu.
func (v *Reservation) parentBytes() int64 {
	if v.parent == nil {
		return 0
	}
	return v.parent.bytes
}

// ReserveCopies reserves the memory of copies of a request of n bytes. It counts as large as
// one of them.
func (v *Reservation) ReserveCopies(copies, n int64) error { return v.reserve(copies*n, n) }

// ReserveFree reserves n bytes more if a large request would get them without an eviction, and
// reports whether it has.
func (v *Reservation) ReserveFree(n int64) bool {
	if v.reserver == nil {
		return true
	}
	v.reserver.mu.Lock()
	defer v.reserver.mu.Unlock()
	if v.evicted || v.reserver.held+n > int64(largeShare*float64(v.reserver.cfg.Bytes)) {
		return false
	}
	v.add(n)
	return true
}

// ReserveAnyway reserves n bytes more even if that exceeds the budget.
func (v *Reservation) ReserveAnyway(n int64) {
	if v.reserver == nil {
		return
	}
	v.reserver.mu.Lock()
	defer v.reserver.mu.Unlock()
	v.add(n)
}

// add adds n bytes. The caller holds reserver.mu.
func (v *Reservation) add(n int64) {
	v.bytes += n
	v.reserver.held += n
	v.reserver.reservations[v] = struct{}{}
}

// Await makes a connection whose request has ended wait for the next one: it may be evicted
// again, and holds n bytes.
func (v *Reservation) Await(n int64) {
	if v.reserver == nil {
		return
	}
	v.reserver.mu.Lock()
	defer v.reserver.mu.Unlock()
	v.complete, v.progress = false, evictor.NewProgress(time.Now())
	if excess := v.bytes - n; excess > 0 {
		v.bytes -= excess
		v.reserver.held -= excess
	}
}

// Release returns all bytes. It may be called more than once.
func (v *Reservation) Release() {
	if v == nil || v.reserver == nil {
		return
	}
	v.reserver.mu.Lock()
	defer v.reserver.mu.Unlock()
	v.reserver.remove(v)
}

// Complete exempts a request that has been read completely from eviction. It returns
// ErrEvicted if the request was evicted before.
func (v *Reservation) Complete() error {
	if v.reserver == nil {
		return nil
	}
	v.reserver.mu.Lock()
	defer v.reserver.mu.Unlock()
	if v.evicted {
		return ErrEvicted
	}
	v.complete = true
	return nil
}

// ReadAll reads r to its end, at most limit bytes. An announced length is reserved before
// the first byte, -1 means that none is known. Bytes that were read before an error are
// returned with it and stay reserved.
func (v *Reservation) ReadAll(r io.Reader, announced, limit int64) ([]byte, error) {
	size := min(tinyBytes, limit)
	if announced >= 0 {
		size = min(announced+1, limit) // one byte more, since the end is seen behind the last byte
	}
	if err := v.Reserve(size); err != nil {
		return nil, err
	}
	data := make([]byte, 0, size)
	for {
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return data, v.readError(err)
		case int64(len(data)) == limit:
			return data, ErrFull
		}
		v.RecordProgress(n)
		if len(data) == cap(data) {
			if data, err = v.grow(data, limit); err != nil {
				return data, err
			}
		}
	}
}

// grow moves data to a larger buffer. Both buffers are reserved until the data is copied.
func (v *Reservation) grow(data []byte, limit int64) ([]byte, error) {
	before := int64(cap(data))
	size := min(growth*before, limit)
	if err := v.reserve(size, size); err != nil {
		return data, err
	}
	larger := make([]byte, len(data), size)
	copy(larger, data)
	v.shrink(before)
	return larger, nil
}

// shrink returns n bytes.
func (v *Reservation) shrink(n int64) {
	if v.reserver == nil {
		return
	}
	v.reserver.mu.Lock()
	defer v.reserver.mu.Unlock()
	n = min(n, v.bytes) // an eviction has returned all
	v.bytes -= n
	v.reserver.held -= n
}

// RecordProgress records the arrival of n bytes.
func (v *Reservation) RecordProgress(n int) {
	if v.reserver == nil {
		return
	}
	v.reserver.mu.Lock()
	defer v.reserver.mu.Unlock()
	v.progress.Record(time.Now(), n)
}

// readError returns the error of a read, which an eviction has ended or the client.
func (v *Reservation) readError(err error) error {
	if v.reserver == nil {
		return err
	}
	v.reserver.mu.Lock()
	defer v.reserver.mu.Unlock()
	if v.evicted {
		return ErrEvicted
	}
	return err
}
