package dialer_test

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/platform/dialer"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/standin/keeper"
	"gentianstep.example/gentianstep/internal/testing/piper"
)

// When the network drops all idle connections without a reset, the first call
// times out. It must close the other idle connections, or each of them would
// cost a later call another timeout.
func TestTimeoutClosesIdleConnections(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		pipe := piper.NewClient(keeper.Handler(keeper.New()))
		defer pipe.Stop()
		d := dialer.New(dialer.Config{Address: netip.MustParseAddrPort("127.0.0.1:1"), Client: pipe.Client})
		get := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := d.Get(ctx, "a")
			return err
		}
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() { _ = get() })
		}
		wg.Wait()
		synctest.Wait()
		pipe.Lose()
		is.True(errors.Is(get(), context.DeadlineExceeded))
		is.True(errors.Is(get(), storer.ErrNotFound)) // answered on a new connection
	})
}
