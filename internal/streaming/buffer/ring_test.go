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

func TestRingIsBoundedAndOrdered(t *testing.T) {
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
			ring.CloseWithError(errBroken)
		}()
		synctest.Wait()
		is.Equal(pushed, size) // the writer is blocked until the reader pops a value
		for n := range total {
			v, more, err := ring.Pop(t.Context())
			is.NoErr(err)
			is.True(more)
			is.Equal(v, n)
			is.True(ring.Len() <= size)
		}
		_, more, err := ring.Pop(t.Context())
		is.True(!more)
		is.Equal(err, errBroken) // the error follows the last value
	})
}

// TestBlockedCallsReturnWhenContextEnds checks that neither side stays blocked
// after its request was cancelled.
func TestBlockedCallsReturnWhenContextEnds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(errBroken)
	ring := buffer.New[int](1)
	_, _, err := ring.Pop(ctx)
	is.Equal(err, errBroken)
	is.NoErr(ring.Push(ctx, 1)) // a free slot is used even though the context has ended
	is.Equal(ring.Push(ctx, 2), errBroken)
}
