// Package bencher times what a router adds to the requests of a caller.
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

// maxIdlePerHost keeps the connections of a round open.
const maxIdlePerHost = 1024

// Config holds what a Bencher is built from.
type Config struct {
	// Direct is the engine and Router the router before it.
	Direct netip.AddrPort
	Router netip.AddrPort
	// Key is the caller's key.
	Key            string
	Organisation   string
	WeightsVersion string
	Body           []byte
	// Rate is the number of requests started in a second, Length the length
	// of one round.
	Rate   int
	Length time.Duration
	Rounds int
	// Processes are watched while the load goes through the router.
	Processes []Process
}

// Bencher sends the same open-loop load by both ways in turn.
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

// Run plays all rounds and returns what they showed.
func (b *Bencher) Run(ctx context.Context) (Report, error) {
	var r Report
	idle, err := watch(ctx, b.cfg.Processes, b.cfg.Length)
	if err != nil {
		return r, err
	}
	r.Idle = idle
	for n := range b.cfg.Rounds {
		direct, router := b.round(ctx, b.direct), Round{}
		routed, err := watchDuring(b.cfg.Processes, func() { router = b.round(ctx, b.routed) })
		if err != nil {
			return r, err
		}
		if n == 0 {
			continue // the first round fills connections and caches
		}
		r.Direct = append(r.Direct, direct)
		r.Router = append(r.Router, router)
		r.Load = routed
	}
	return r, ctx.Err()
}

// round sends requests at the rate for the length of a round.
func (b *Bencher) round(ctx context.Context, build func(ctx context.Context) (*http.Request, error)) Round {
	r := newRound()
	var wg sync.WaitGroup
	interval := time.Second / time.Duration(b.cfg.Rate)
	begin := time.Now()
	for n := range int(b.cfg.Length / interval) {
		due := begin.Add(time.Duration(n) * interval)
		if !sleepUntil(ctx, due) {
			break
		}
		wg.Go(func() { r.add(b.send(ctx, build, due)) })
	}
	wg.Wait()
	return r.sum()
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

// sample is one request's times from when it was due.
type sample struct {
	first, whole time.Duration
	err          error
}

// errCut reports a stream without its end.
var errCut = errors.New("stream was cut")

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
		if s.first == 0 {
			s.first = time.Since(due)
		}
		done = string(line) == encoder.Done
	}
	s.whole = time.Since(due)
	if !done {
		s.err = errors.Join(errCut, lines.Err())
	}
	return s
}

func (b *Bencher) direct(ctx context.Context) (*http.Request, error) {
	request, err := b.request(ctx, b.cfg.Direct)
	if err != nil {
		return nil, err
	}
	request.Header.Set(encoder.HeaderRequestID, uuid.NewString())
	request.Header.Set(encoder.HeaderAttempt, "1")
	request.Header.Set(encoder.HeaderOrganisation, b.cfg.Organisation)
	request.Header.Set(encoder.HeaderWeightsVersion, b.cfg.WeightsVersion)
	return request, nil
}

func (b *Bencher) routed(ctx context.Context) (*http.Request, error) {
	request, err := b.request(ctx, b.cfg.Router)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+b.cfg.Key)
	return request, nil
}

func (b *Bencher) request(ctx context.Context, address netip.AddrPort) (*http.Request, error) {
	url := "http://" + address.String() + "/v1/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(b.cfg.Body))
	if err != nil {
		return nil, fmt.Errorf("bench request: %w", err)
	}
	return request, nil
}

// FirstAnswer sends requests to the router until one is served and returns
// how long that took from begin.
func (b *Bencher) FirstAnswer(ctx context.Context, begin time.Time) (time.Duration, error) {
	for {
		s := b.send(ctx, b.routed, begin)
		if s.err == nil {
			return s.whole, nil
		}
		if !sleepUntil(ctx, time.Now().Add(answerInterval)) {
			return 0, fmt.Errorf("first answer: %w", s.err)
		}
	}
}

// answerInterval is the wait between two tries for a first answer.
const answerInterval = 5 * time.Millisecond
