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

// maxResponseBytes limits the response body read from a router.
const maxResponseBytes = 16 << 20

// FetchDecisions requests the routing decisions for a request from the router with
// the given operator address. It returns none if the router keeps none.
func FetchDecisions(ctx context.Context, client *http.Client, address netip.AddrPort, requestID string) ([]Decision, error) {
	target := url.URL{Scheme: "http", Host: address.String(), Path: "/explain/" + requestID}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, fmt.Errorf("create request for decisions: %w", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("request decisions from router: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotFound {
		return nil, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("request decisions from router: unexpected status %d", response.StatusCode)
	}
	var found []Decision
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&found); err != nil {
		return nil, fmt.Errorf("decode decisions from router: %w", err)
	}
	return found, nil
}
