// Package requester sends HTTP requests with JSON bodies to a service of the
// platform.
package requester

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"gentianstep.example/gentianstep/internal/streaming/bounder"
)

// maxResponseBytes bounds the size of a response body.
const maxResponseBytes = 16 << 20

// Config configures a Requester.
type Config struct {
	// Base is the URL prefix of the service: scheme and address.
	Base string
	// Client must not be shared with other services, as all its idle connections
	// are closed when a call fails or times out.
	Client *http.Client
	// StatusError returns the error that an HTTP status stands for, nil for
	// success.
	StatusError func(status int) error
	// Bodies limits the memory of the bodies of all responses; nil for no limit.
	Bodies *bounder.Bounder
}

// Requester sends requests, at most once per call.
type Requester struct {
	cfg Config
}

// New returns a Requester.
func New(cfg Config) *Requester { return &Requester{cfg: cfg} }

// Call sends one request and decodes the response body into result unless result
// is nil. A call that fails without a response may still have taken effect.
func (r *Requester) Call(ctx context.Context, method, path string, body, result any) error {
	return r.CallChecked(ctx, method, path, body, result, nil)
}

// CallChecked is Call with a check of the header of any response, whatever its status.
// The error of the check is returned as the error of the call.
func (r *Requester) CallChecked(ctx context.Context, method, path string, body, result any, check func(http.Header) error) error {
	request, err := r.newRequest(ctx, method, path, body)
	if err != nil {
		return err
	}
	response, err := r.cfg.Client.Do(request)
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			// If this connection is broken, the idle ones may be broken as well.
			r.cfg.Client.CloseIdleConnections()
		}
		return fmt.Errorf("call platform: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := r.cfg.Bodies.ReadAll(response.Body, maxResponseBytes)
	if err != nil {
		return fmt.Errorf("read platform response: %w", err)
	}
	defer data.Release()
	if check != nil {
		if err := check(response.Header); err != nil {
			return err
		}
	}
	if err := r.cfg.StatusError(response.StatusCode); err != nil || result == nil {
		return err
	}
	if err := json.Unmarshal(data.Data, result); err != nil {
		return fmt.Errorf("decode platform response: %w", err)
	}
	return nil
}

// newRequest builds a request without GetBody, so that the transport cannot send
// the body twice.
func (r *Requester) newRequest(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("encode body of platform request: %w", err)
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, r.cfg.Base+path, reader)
	if err != nil {
		return nil, fmt.Errorf("build platform request: %w", err)
	}
	request.GetBody = nil
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}
