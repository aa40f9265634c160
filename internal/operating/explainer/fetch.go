package explainer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
)

// maxAnswerBytes bounds the answer of one router.
const maxAnswerBytes = 16 << 20

// Fetch asks the router whose operator address this is for the decisions that
// it took for a request. A router that keeps none yields none.
func Fetch(ctx context.Context, client *http.Client, address netip.AddrPort, requestID string) ([]Decision, error) {
	target := url.URL{Scheme: "http", Host: address.String(), Path: "/explain/" + requestID}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, fmt.Errorf("explain request: %w", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("ask router: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotFound {
		return nil, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("ask router: status %d", response.StatusCode)
	}
	var found []Decision
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&found); err != nil {
		return nil, fmt.Errorf("router's answer: %w", err)
	}
	return found, nil
}
