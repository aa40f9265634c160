package starter

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

// drainTimeout bounds the wait for open streams at a planned stop.
const drainTimeout = 10 * time.Minute

// serve runs servers and loops until ctx ends, then lets open requests finish.
func serve(ctx context.Context, servers []*server, loops ...func(context.Context)) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, s := range servers {
		group.Go(s.run)
	}
	for _, loop := range loops {
		group.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	group.Go(func() error {
		<-ctx.Done()
		drain, cancel := context.WithTimeout(context.Background(), drainTimeout)
		defer cancel()
		for _, s := range servers {
			if err := s.http.Shutdown(drain); err != nil {
				return err
			}
		}
		return nil
	})
	return group.Wait()
}

func newTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}
