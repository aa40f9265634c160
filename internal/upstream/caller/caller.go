// Package caller sends requests to upstreams, each at most once per call.
package caller

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"gentianstep.example/gentianstep/internal/streaming/encoder"
)

// connectTimeout bounds the opening of a connection.
const connectTimeout = 2 * time.Second

// Config holds what a Caller is built from.
type Config struct {
	// Dial opens connections; nil takes TCP.
	Dial DialFunc
	// IdleTimeout is how long an unused connection is kept; 0 takes 30 s.
	IdleTimeout time.Duration
}

// Caller sends requests to upstreams.
type Caller struct {
	pool    *pool
	cancels chan struct{}
}

// New returns a Caller that never follows a redirect.
func New(cfg Config) *Caller {
	dial := cfg.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: connectTimeout}).DialContext
	}
	return &Caller{pool: newPool(dial, cmp.Or(cfg.IdleTimeout, idleConnectionTimeout)), cancels: make(chan struct{}, maxCancels)}
}

// Close closes the idle connections.
func (c *Caller) Close() { c.pool.close() }

// CloseIdle closes the idle connections to target, which are suspect together
// once one of them has gone silent.
func (c *Caller) CloseIdle(target Target) { c.pool.closeIdle(target.Address) }

func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Do sends call to target once and returns the answer's head. An error is
// always a *Failure.
func (c *Caller) Do(ctx context.Context, target Target, call Call) (*Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	e := &exchange{}
	request, err := newRequest(httptrace.WithClientTrace(ctx, e.trace()), target, call)
	if err != nil {
		cancel(nil)
		return nil, &Failure{Upstream: target.Name, NotRun: true, Err: err}
	}
	client := &http.Client{
		Transport:     c.pool.transport(target.Address, call.NewConnection),
		CheckRedirect: refuseRedirect,
	}
	dog := newWatchdog(call.FirstByteBy, cancel)
	e.onReuse = func() { dog.expect(earlier(call.FirstByteBy, time.Now().Add(call.IdleTimeout))) }
	response, err := client.Do(request) //nolint:bodyclose // Answer closes it.
	dog.rest()
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		sent := e.end()
		cancel(nil)
		return nil, &Failure{Upstream: target.Name, Sent: sent, NotRun: !sent, Reused: e.wasReused(), Err: err}
	}
	answer := &Answer{
		Status:      response.StatusCode,
		Header:      response.Header,
		Reused:      e.wasReused(),
		ctx:         ctx,
		cancel:      cancel,
		body:        response.Body,
		exchange:    e,
		watchdog:    dog,
		firstByteBy: call.FirstByteBy,
		idleTimeout: call.IdleTimeout,
	}
	call.Identified = call.Identified && response.StatusCode == http.StatusOK
	if err := matches(response, call); err != nil {
		answer.Discard()
		return nil, &Failure{Upstream: target.Name, Sent: true, Reused: answer.Reused, Err: err}
	}
	return answer, nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// matches checks that the answer names the request and the attempt it is for.
func matches(response *http.Response, call Call) error {
	header := response.Header
	if call.Head != nil {
		return call.Head.Check(response.StatusCode, header)
	}
	id := header.Get(encoder.HeaderRequestID)
	if id != call.RequestID && (id != "" || call.Identified) {
		return fmt.Errorf("request %q: %w", id, ErrCrossed)
	}
	attempt := header.Get(encoder.HeaderAttempt)
	if attempt != strconv.Itoa(call.Attempt) && (attempt != "" || call.Identified) {
		return fmt.Errorf("attempt %q: %w", attempt, ErrCrossed)
	}
	return nil
}

// newRequest builds a request whose body the transport cannot send twice.
func newRequest(ctx context.Context, target Target, call Call) (*http.Request, error) {
	if !target.Address.IsValid() {
		return nil, errors.New("upstream has no address")
	}
	body := io.NopCloser(bytes.NewReader(call.Body))
	url := "http://" + target.Address.String()
	if call.Head == nil {
		url += call.Path
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, url, body)
	if err != nil {
		return nil, fmt.Errorf("upstream request: %w", err)
	}
	request.ContentLength = int64(len(call.Body))
	request.GetBody = nil
	if call.Head != nil {
		request.URL.Opaque, request.URL.RawQuery, request.URL.ForceQuery = call.Path, "", false
		request.Host = call.Head.Host
		request.Header = call.Head.Header
		return request, nil
	}
	headers := []struct{ name, value string }{
		{encoder.HeaderRequestID, call.RequestID},
		{encoder.HeaderAttempt, strconv.Itoa(call.Attempt)},
		{encoder.HeaderOrganisation, call.Organisation},
		{encoder.HeaderWeightsVersion, call.WeightsVersion},
		{encoder.HeaderPriority, call.Priority},
		{encoder.HeaderIdempotencyKey, call.IdempotencyKey},
		{"Content-Type", call.ContentType},
		{encoder.HeaderImportBlocks, importBlocks(call)},
		{encoder.HeaderExport, export(call)},
	}
	for _, h := range headers {
		if h.value != "" {
			request.Header.Set(h.name, h.value)
		}
	}
	return request, nil
}
