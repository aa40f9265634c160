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

// Client reaches a Store over HTTP. The caller's context bounds each call.
type Client struct {
	address netip.AddrPort
	http    *http.Client
}

// NewClient returns a Client of the store at address.
func NewClient(address netip.AddrPort) *Client {
	return &Client{address: address, http: &http.Client{}}
}

// Import asks the store for the blocks of chain from the one at held on and
// returns how many leading blocks the engine then has.
func (c *Client) Import(ctx context.Context, scope hasher.Scope, held int, chain []hasher.Hash) (int, error) {
	body, err := c.post(ctx, PathImports, http.StatusOK, newBatch(scope, held, chain))
	if err != nil {
		return held, err
	}
	var answer ImportAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return held, fmt.Errorf("decode import answer: %w", err)
	}
	return answer.Blocks, nil
}

// Export hands the blocks of chain to the store.
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
		return nil, fmt.Errorf("store of kept cache: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("store of kept cache: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return nil, fmt.Errorf("store of kept cache: %w", err)
	}
	if response.StatusCode != status {
		return nil, fmt.Errorf("store of kept cache: status %d", response.StatusCode)
	}
	return body, nil
}
