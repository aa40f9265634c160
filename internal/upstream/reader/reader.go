// Package reader follows the cache events of one engine.
package reader

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/caching/indexer"
)

const (
	firstRetry = 200 * time.Millisecond
	lastRetry  = 5 * time.Second
	// quietTimeout ends a connection on which no event came for that long. An
	// engine without news and a connection that went silent look the same, and
	// a new connection costs one request.
	quietTimeout = 10 * time.Second
)

// Config holds what a Reader is built from.
type Config struct {
	Upstream string
	Address  netip.AddrPort
	Client   *http.Client
	// OnEvent takes each event as it came; it may block.
	OnEvent func(upstream string, e indexer.Event)
	Log     *logrus.Entry
}

// Reader follows one engine and connects again after every failure.
type Reader struct {
	cfg         Config
	incarnation uint64
	seq         uint64
}

// New returns a Reader that has read nothing.
func New(cfg Config) *Reader {
	return &Reader{cfg: cfg}
}

// Run reads until ctx ends.
func (r *Reader) Run(ctx context.Context) {
	wait := firstRetry
	for ctx.Err() == nil {
		before := r.seq
		err := r.follow(ctx)
		if r.seq != before {
			wait = firstRetry
		}
		r.cfg.Log.WithError(err).WithField("upstream", r.cfg.Upstream).Debug("cache events ended")
		select {
		case <-time.After(wait/2 + rand.N(wait/2)):
		case <-ctx.Done():
		}
		wait = min(2*wait, lastRetry)
	}
}

func (r *Reader) follow(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	quiet := time.AfterFunc(quietTimeout, cancel)
	defer quiet.Stop()
	url := "http://" + r.cfg.Address.String() + "/v1/control/events" +
		"?incarnation=" + strconv.FormatUint(r.incarnation, 10) +
		"&after=" + strconv.FormatUint(r.seq, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("cache events: %w", err)
	}
	response, err := r.cfg.Client.Do(request)
	if err != nil {
		return fmt.Errorf("cache events: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("cache events: status %d", response.StatusCode)
	}
	decoder := json.NewDecoder(response.Body)
	for {
		var e indexer.Event
		if err := decoder.Decode(&e); err != nil {
			return fmt.Errorf("cache events: %w", err)
		}
		quiet.Reset(quietTimeout)
		r.incarnation = e.Incarnation
		r.seq = e.Seq
		r.cfg.OnEvent(r.cfg.Upstream, e)
	}
}
