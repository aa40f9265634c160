// Package caller sends requests to upstreams, each at most once per call.
package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"gentianstep.example/gentianstep/internal/streaming/encoder"
)

// Config holds what a Caller is built from.
type Config struct {
	Transport http.RoundTripper
}

// Caller sends requests to upstreams.
type Caller struct {
	client *http.Client
}

// New returns a Caller that never follows a redirect.
func New(cfg Config) *Caller {
	return &Caller{client: &http.Client{
		Transport:     cfg.Transport,
		CheckRedirect: refuseRedirect,
	}}
}

func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Do sends call to target once and returns the answer's head. The caller
// closes its body. An error is always a *Failure.
func (c *Caller) Do(ctx context.Context, target Target, call Call) (*http.Response, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { sent.Store(true) },
	}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), target, call)
	if err != nil {
		return nil, &Failure{Upstream: target.Name, NotRun: true, Err: err}
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, &Failure{Upstream: target.Name, NotRun: !sent.Load(), Err: err}
	}
	if err := matches(response, call); err != nil {
		_ = response.Body.Close()
		return nil, &Failure{Upstream: target.Name, Err: err}
	}
	return response, nil
}

// errCrossed reports an answer that belongs to another request.
var errCrossed = errors.New("answer belongs to another request")

// matches checks that the answer names the request and the attempt it is for.
func matches(response *http.Response, call Call) error {
	id := response.Header.Get(encoder.HeaderRequestID)
	if id != "" && id != call.RequestID {
		return fmt.Errorf("request %q: %w", id, errCrossed)
	}
	attempt := response.Header.Get(encoder.HeaderAttempt)
	if attempt != "" && attempt != strconv.Itoa(call.Attempt) {
		return fmt.Errorf("attempt %q: %w", attempt, errCrossed)
	}
	return nil
}

// newRequest builds a request whose body the transport cannot send twice.
func newRequest(ctx context.Context, target Target, call Call) (*http.Request, error) {
	body := io.NopCloser(bytes.NewReader(call.Body))
	url := "http://" + target.Address.String() + call.Path
	request, err := http.NewRequestWithContext(ctx, call.Method, url, body)
	if err != nil {
		return nil, fmt.Errorf("upstream request: %w", err)
	}
	request.ContentLength = int64(len(call.Body))
	request.GetBody = nil
	headers := []struct{ name, value string }{
		{encoder.HeaderRequestID, call.RequestID},
		{encoder.HeaderAttempt, strconv.Itoa(call.Attempt)},
		{encoder.HeaderOrganisation, call.Organisation},
		{encoder.HeaderWeightsVersion, call.WeightsVersion},
		{encoder.HeaderPriority, call.Priority},
		{encoder.HeaderIdempotencyKey, call.IdempotencyKey},
		{"Content-Type", call.ContentType},
	}
	for _, h := range headers {
		if h.value != "" {
			request.Header.Set(h.name, h.value)
		}
	}
	return request, nil
}
