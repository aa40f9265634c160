// Package reader reads the stream of cache events of one engine.
package reader

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/caching/indexer"
)

const (
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// idleTimeout closes a connection on which no event has arrived for this
	// long. An idle engine cannot be told apart from a broken connection, and
	// reconnecting costs one request.
	idleTimeout = 10 * time.Second
	// maxEventBytes bounds the bytes from one event to the end of the next.
	maxEventBytes = 1 << 20
)

// Config configures a Reader.
type Config struct {
	Upstream string
	Address  netip.AddrPort
	Client   *http.Client
	// OnEvent is called with each event, unchanged and in order of arrival. It
	// may block.
	OnEvent func(upstream string, e indexer.Event)
	Log     *logrus.Entry
}

// Reader reads the cache events of one engine and reconnects after each failure
// from the last event that it has read.
type Reader struct {
	cfg         Config
	incarnation uint64 // of the last event read
	seq         uint64 // of the last event read
}

// New returns a Reader that starts before the first event.
func New(cfg Config) *Reader {
	return &Reader{cfg: cfg}
}

// Run reads events until ctx ends. It reconnects with exponential back-off and
// jitter; any event read resets the back-off.
func (r *Reader) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		previousSeq := r.seq
		err := r.readStream(ctx)
		if r.seq != previousSeq {
			backoff = minBackoff
		}
		r.cfg.Log.WithError(err).WithField("upstream", r.cfg.Upstream).Debug("stream of cache events ended")
		select {
		case <-time.After(backoff/2 + rand.N(backoff/2)):
		case <-ctx.Done():
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// readStream opens one connection and reads events until it fails.
func (r *Reader) readStream(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(idleTimeout, cancel)
	defer idleTimer.Stop()
	url := "http://" + r.cfg.Address.String() + "/v1/control/events" +
		"?incarnation=" + strconv.FormatUint(r.incarnation, 10) +
		"&after=" + strconv.FormatUint(r.seq, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("build request for cache events: %w", err)
	}
	response, err := r.cfg.Client.Do(request)
	if err != nil {
		return fmt.Errorf("request cache events: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("request cache events: unexpected status %d", response.StatusCode)
	}
	limited := &io.LimitedReader{R: response.Body}
	decoder := json.NewDecoder(limited)
	for {
		var e indexer.Event
		limited.N = maxEventBytes
		if err := decoder.Decode(&e); err != nil {
			return fmt.Errorf("decode cache event: %w", err)
		}
		idleTimer.Reset(idleTimeout)
		r.incarnation = e.Incarnation
		r.seq = e.Seq
		r.cfg.OnEvent(r.cfg.Upstream, e)
	}
}
