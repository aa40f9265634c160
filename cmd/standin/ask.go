package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"gentianstep.example/gentianstep/internal/streaming/encoder"
)

// askOptions holds the flags of the ask subcommand.
type askOptions struct {
	url            string
	key            string
	body           string
	idempotencyKey string
}

func newAskCommand() command {
	o := askOptions{}
	parser := flaggy.NewSubcommand("ask")
	parser.Description = "Send one request as a caller and print the answer as it comes."
	parser.String(&o.url, "u", "url", "URL to ask.")
	parser.String(&o.key, "k", "key", "Key of the caller.")
	parser.String(&o.body, "b", "body", "Body to post; without one the request is a GET.")
	parser.String(&o.idempotencyKey, "i", "idempotency-key", "Idempotency key of the request.")
	return command{parser: parser, run: o.run}
}

func (o *askOptions) run(ctx context.Context) error {
	method := http.MethodGet
	if o.body != "" {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, o.url, strings.NewReader(o.body))
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	if o.key != "" {
		request.Header.Set("Authorization", "Bearer "+o.key)
	}
	if o.idempotencyKey != "" {
		request.Header.Set(encoder.HeaderIdempotencyKey, o.idempotencyKey)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(os.Stdout, response.Body); err != nil {
		return fmt.Errorf("copy response body: %w", err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("send request: unexpected status %d", response.StatusCode)
	}
	return nil
}
