package reader_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/upstream/reader"
)

// endlessBytes is far more than an event has, maxReadBytes what may be read of one that
// does not end.
const (
	endlessBytes = 32 << 20
	maxReadBytes = 2 << 20
)

// endlessEvents answers each call with an event that does not end, and counts the bytes
// that are read of the longest answer.
type endlessEvents struct{ longest atomic.Int64 }

// RoundTrip implements http.RoundTripper.
func (e *endlessEvents) RoundTrip(*http.Request) (*http.Response, error) {
	body := &countedBody{Reader: strings.NewReader(`"` + strings.Repeat("x", endlessBytes)), longest: &e.longest}
	return &http.Response{StatusCode: http.StatusOK, Body: body}, nil
}

type countedBody struct {
	io.Reader
	read    int64
	longest *atomic.Int64
}

// Read implements io.Reader.
func (b *countedBody) Read(data []byte) (int, error) {
	n, err := b.Reader.Read(data)
	b.read += int64(n)
	b.longest.Store(max(b.longest.Load(), b.read))
	return n, err
}

// Close implements io.Closer.
func (b *countedBody) Close() error { return nil }

// TestCacheEventWithoutEndIsCutOff guards against an event that fills the memory.
func TestCacheEventWithoutEndIsCutOff(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		events := &endlessEvents{}
		log := logrus.New()
		log.SetOutput(io.Discard)
		r := reader.New(reader.Config{
			Upstream: "u", Address: address, Client: &http.Client{Transport: events},
			OnEvent: func(string, indexer.Event) {}, Log: logrus.NewEntry(log),
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		r.Run(ctx)
		is.True(events.longest.Load() > 0)
		is.True(events.longest.Load() <= maxReadBytes)
	})
}
