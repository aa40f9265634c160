// Package requester makes calls with JSON bodies to a platform's service.
package requester

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// maxAnswerBytes bounds the body of one answer.
const maxAnswerBytes = 16 << 20

// Config holds what a Requester is built from.
type Config struct {
	// Base is the scheme and the address of the service.
	Base string
	// Client is used for the service alone.
	Client *http.Client
	// StatusError returns the error of an answer's status, nil for a success.
	StatusError func(status int) error
}

// Requester makes calls, each at most once.
type Requester struct {
	cfg Config
}

// New returns a Requester.
func New(cfg Config) *Requester { return &Requester{cfg: cfg} }

// Call makes one call and decodes its answer, unless answer is nil. A call that
// is not answered may still take effect.
func (r *Requester) Call(ctx context.Context, method, path string, body, answer any) error {
	request, err := r.request(ctx, method, path, body)
	if err != nil {
		return err
	}
	response, err := r.cfg.Client.Do(request)
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			// The connection may have gone silent; the idle ones are suspect too.
			r.cfg.Client.CloseIdleConnections()
		}
		return fmt.Errorf("platform: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("platform answer: %w", err)
	}
	if err := r.cfg.StatusError(response.StatusCode); err != nil || answer == nil {
		return err
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return fmt.Errorf("platform answer: %w", err)
	}
	return nil
}

// request builds a request whose body the transport cannot send a second time.
func (r *Requester) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("platform request: %w", err)
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, r.cfg.Base+path, reader)
	if err != nil {
		return nil, fmt.Errorf("platform request: %w", err)
	}
	request.GetBody = nil
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}
