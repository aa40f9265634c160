package listener_test

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/caching/cataloguer"
	"gentianstep.example/gentianstep/internal/caching/listener"
	"gentianstep.example/gentianstep/internal/membership/registrar"
)

var errCut = errors.New("connection was cut")

// brokenEngine fails all calls with an error.
type brokenEngine struct {
	err   error
	calls atomic.Int64
}

// Events implements listener.Source.
func (e *brokenEngine) Events(context.Context, *registrar.Upstream, uint64, time.Duration) (listener.Batch, error) {
	e.calls.Add(1)
	return listener.Batch{}, e.err
}

// List implements listener.Source.
func (e *brokenEngine) List(context.Context, *registrar.Upstream) (listener.Batch, error) {
	return listener.Batch{}, e.err
}

// SetCached implements listener.Sink.
func (e *brokenEngine) SetCached(string, cataloguer.Part, int) {}

// RemoveUpstream implements listener.Sink.
func (e *brokenEngine) RemoveUpstream(string) {}

// TestRetriesAfterFailedCalls guards against an engine that fills the link of the hub with
// bytes that are no response, and against a hub that is slow to read the events of one whose
// connection was cut.
func TestRetriesAfterFailedCalls(t *testing.T) {
	t.Parallel()
	rows := []struct {
		name string
		err  error
		// min and max bound the calls in 30 s.
		min, max int64
	}{
		{"cut", errCut, 95, 101},
		{"no response", listener.ErrNoResponse, 8, 12},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				engine := &brokenEngine{err: row.err}
				log := logrus.New()
				log.SetOutput(io.Discard)
				l := listener.New(listener.Config{
					Active:  func() bool { return true },
					Engines: func() []*registrar.Upstream { return []*registrar.Upstream{{ID: "a"}} },
					Source:  engine, Sink: engine,
					Filter: func(listener.Event) bool { return true },
					Log:    logrus.NewEntry(log),
				})
				ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
				defer cancel()
				l.Run(ctx)
				synctest.Wait()
				calls := engine.calls.Load()
				is.True(calls >= row.min)
				is.True(calls <= row.max)
			})
		})
	}
}
