package archiver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"

	"gentianstep.example/gentianstep/internal/caching/hasher"
)

// Client is an HTTP client of a Store. It has no timeout of its own: the context
// of each call limits its duration.
type Client struct {
	address netip.AddrPort
	http    *http.Client
}

// ClientConfig configures a Client.
type ClientConfig struct {
	// Address is the address of the store.
	Address netip.AddrPort
	// HTTPClient sends the requests; nil means a client of its own.
	HTTPClient *http.Client
}

// NewClient returns a Client.
func NewClient(cfg ClientConfig) *Client {
	if cfg.HTTPClient == nil {
		cfg.HTTPClient = &http.Client{}
	}
	return &Client{address: cfg.Address, http: cfg.HTTPClient}
}

// Import requests the blocks of chain after the first held ones. It returns the
// number of leading blocks of chain that the engine then has.
func (c *Client) Import(ctx context.Context, scope hasher.Scope, held int, chain []hasher.Hash) (int, error) {
	body, err := c.post(ctx, PathImports, http.StatusOK, newBatch(scope, held, chain))
	if err != nil {
		return held, err
	}
	var result ImportResponse
	if err := json.Unmarshal(body, &result); err != nil {
		return held, fmt.Errorf("decode import response of cache store: %w", err)
	}
	return result.Blocks, nil
}

// Export sends the blocks of chain to the store.
func (c *Client) Export(ctx context.Context, scope hasher.Scope, chain []hasher.Hash) error {
	_, err := c.post(ctx, PathExports, http.StatusNoContent, newBatch(scope, 0, chain))
	return err
}

func (c *Client) post(ctx context.Context, path string, status int, batch Batch) ([]byte, error) {
	data, err := json.Marshal(batch)
	if err != nil {
		return nil, fmt.Errorf("encode batch: %w", err)
	}
	url := "http://" + c.address.String() + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("create request to cache store: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("send request to cache store: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return nil, fmt.Errorf("read response of cache store: %w", err)
	}
	if response.StatusCode != status {
		return nil, fmt.Errorf("cache store responded with status %d", response.StatusCode)
	}
	return body, nil
}
