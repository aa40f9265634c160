//go:build !race

// The race detector fails at times in this file, see notices_model_test.go.

package forwarder

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/peering/coordinator"
	"gentianstep.example/gentianstep/internal/routing/matcher"
	"gentianstep.example/gentianstep/internal/upstream/isolator"
	"gentianstep.example/gentianstep/internal/upstream/noticer"
)

// noWeights is a directory in which no version of the weights is wanted.
type noWeights struct{ Directory }

func (noWeights) Matcher() *matcher.Matcher { return nil }

func (noWeights) DesiredWeightsHistory(string) []informer.Weights { return nil }

// TestWeightsChangeWhileRequestsAreSent guards against a check of an attempt whose timer
// is not set yet, which would end the process.
func TestWeightsChangeWhileRequestsAreSent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const attempts = 100_000
	f := New(Config{
		Directory: noWeights{}, View: coordinator.NewView(), Noticer: noticer.New(noticer.Config{}),
		Isolator:     isolator.New(isolator.Config{}),
		WeightsApply: time.Hour, Log: logrus.NewEntry(logrus.New()),
	})
	sent := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		defer close(sent)
		x := &exchange{Forwarder: f, request: &Request{}, route: &matcher.Route{CarriesPrompt: true}}
		for range attempts {
			_, w := x.watchWaiting(t.Context(), &registrar.Upstream{}, 0)
			w.stop()
		}
	})
	group.Go(func() {
		for {
			select {
			case <-sent:
				return
			default:
			}
			for _, w := range f.waiting.list() {
				w.check()
			}
		}
	})
	group.Wait()
	is.Equal(len(f.waiting.list()), 0)
}
