package buffer_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/streaming/buffer"
)

var errBroken = errors.New("broken")

func TestRingIsBoundedAndInOrder(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const size, total = 4, 100
		ring := buffer.New[int](size)
		pushed := 0
		go func() {
			for n := range total {
				if ring.Push(t.Context(), n) != nil {
					return
				}
				pushed = n + 1
			}
			ring.End(errBroken)
		}()
		synctest.Wait()
		is.Equal(pushed, size) // the writer waits for the reader
		for n := range total {
			v, more, err := ring.Pop(t.Context())
			is.NoErr(err)
			is.True(more)
			is.Equal(v, n)
			is.True(ring.Len() <= size)
		}
		_, more, err := ring.Pop(t.Context())
		is.True(!more)
		is.Equal(err, errBroken) // the end comes after the last value
	})
}

func TestRingWaitsEndWithTheirContext(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(errBroken)
	ring := buffer.New[int](1)
	_, _, err := ring.Pop(ctx)
	is.Equal(err, errBroken)
	is.NoErr(ring.Push(ctx, 1)) // there is room
	is.Equal(ring.Push(ctx, 2), errBroken)
}
