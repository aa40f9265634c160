// Package bencher measures the latency that a router adds to requests.
package bencher

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/google/uuid"

	"gentianstep.example/gentianstep/internal/streaming/encoder"
)

// maxIdlePerHost is high enough to keep all connections of a round open.
const maxIdlePerHost = 1024

// Config holds the configuration of a Bencher.
type Config struct {
	// Direct is the address of the engine, Router that of the router in front of it.
	Direct netip.AddrPort
	Router netip.AddrPort
	// Key is the caller's API key.
	Key            string
	Organisation   string
	WeightsVersion string
	Body           []byte
	// Rate is the number of requests started per second, RoundDuration the
	// duration of one round.
	Rate          int
	RoundDuration time.Duration
	Rounds        int
	// Processes are the processes whose resource usage is measured, when idle and
	// while the load goes through the router.
	Processes []Process
}

// Bencher sends the same open-loop load directly to the engine and through the
// router, in turn.
type Bencher struct {
	cfg    Config
	client *http.Client
}

// New returns a Bencher.
func New(cfg Config) *Bencher {
	return &Bencher{cfg: cfg, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdlePerHost,
		DisableCompression:  true,
	}}}
}

// Run runs all rounds and returns their results. The first round is not counted.
func (b *Bencher) Run(ctx context.Context) (Report, error) {
	var r Report
	idle, err := measureIdle(ctx, b.cfg.Processes, b.cfg.RoundDuration)
	if err != nil {
		return r, err
	}
	r.Idle = idle
	for n := range b.cfg.Rounds {
		direct, router := b.runRound(ctx, b.directRequest), Round{}
		routed, err := measureDuring(b.cfg.Processes, func() { router = b.runRound(ctx, b.routedRequest) })
		if err != nil {
			return r, err
		}
		if n == 0 {
			continue // the first round opens connections and fills caches
		}
		r.Direct = append(r.Direct, direct)
		r.Router = append(r.Router, router)
		r.Load = routed
	}
	return r, ctx.Err()
}

// runRound sends requests at the configured rate for one round.
func (b *Bencher) runRound(ctx context.Context, build func(ctx context.Context) (*http.Request, error)) Round {
	r := newRound()
	var wg sync.WaitGroup
	interval := time.Second / time.Duration(b.cfg.Rate)
	begin := time.Now()
	for n := range int(b.cfg.RoundDuration / interval) {
		due := begin.Add(time.Duration(n) * interval)
		if !sleepUntil(ctx, due) {
			break
		}
		wg.Go(func() { r.add(b.send(ctx, build, due)) })
	}
	wg.Wait()
	return r.summary()
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// sample holds the latencies of one request, measured from its scheduled time.
type sample struct {
	firstToken, whole time.Duration
	err               error
}

// errTruncated reports a stream that ended without the end marker.
var errTruncated = errors.New("stream ended without end marker")

func (b *Bencher) send(ctx context.Context, build func(ctx context.Context) (*http.Request, error), due time.Time) sample {
	request, err := build(ctx)
	if err != nil {
		return sample{err: err}
	}
	response, err := b.client.Do(request)
	if err != nil {
		return sample{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return sample{err: fmt.Errorf("status %d", response.StatusCode)}
	}
	var s sample
	done := false
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		line, isData := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !isData {
			continue
		}
		if s.firstToken == 0 {
			s.firstToken = time.Since(due)
		}
		done = string(line) == encoder.Done
	}
	s.whole = time.Since(due)
	if !done {
		s.err = errors.Join(errTruncated, lines.Err())
	}
	return s
}

func (b *Bencher) directRequest(ctx context.Context) (*http.Request, error) {
	request, err := b.newRequest(ctx, b.cfg.Direct)
	if err != nil {
		return nil, err
	}
	request.Header.Set(encoder.HeaderRequestID, uuid.NewString())
	request.Header.Set(encoder.HeaderAttempt, "1")
	request.Header.Set(encoder.HeaderOrganisation, b.cfg.Organisation)
	request.Header.Set(encoder.HeaderWeightsVersion, b.cfg.WeightsVersion)
	return request, nil
}

func (b *Bencher) routedRequest(ctx context.Context) (*http.Request, error) {
	request, err := b.newRequest(ctx, b.cfg.Router)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+b.cfg.Key)
	return request, nil
}

func (b *Bencher) newRequest(ctx context.Context, address netip.AddrPort) (*http.Request, error) {
	url := "http://" + address.String() + "/v1/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(b.cfg.Body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	return request, nil
}

// FirstResponse sends requests to the router until one succeeds and returns the time
// from begin to the end of its response.
func (b *Bencher) FirstResponse(ctx context.Context, begin time.Time) (time.Duration, error) {
	for {
		s := b.send(ctx, b.routedRequest, begin)
		if s.err == nil {
			return s.whole, nil
		}
		if !sleepUntil(ctx, time.Now().Add(retryInterval)) {
			return 0, fmt.Errorf("wait for first response: %w", s.err)
		}
	}
}

// retryInterval is the wait between two attempts to get a first response.
const retryInterval = 5 * time.Millisecond
