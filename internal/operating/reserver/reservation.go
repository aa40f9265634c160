package reserver

import (
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

	// The following fields are guarded by reserver.mu.
	bytes    int64
	progress evictor.Progress
	// complete is true if the reservation is not evicted.
	complete bool
	evicted  bool
}

// Reserve reserves n bytes more. It returns ErrNoMemory or ErrEvicted if they are not
// available.
func (v *Reservation) Reserve(n int64) error {
	if v.reserver == nil {
		return nil
	}
	v.reserver.mu.Lock()
	defer v.reserver.mu.Unlock()
	switch {
	case v.evicted:
		return ErrEvicted
	case !v.reserver.makeRoom(v, n):
		return ErrNoMemory
	}
	v.bytes += n
	v.reserver.held += n
	v.reserver.reservations[v] = struct{}{}
	return nil
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
	size := min(SmallBytes, limit)
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
		v.recordProgress(n)
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
	if err := v.Reserve(size); err != nil {
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

func (v *Reservation) recordProgress(n int) {
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
