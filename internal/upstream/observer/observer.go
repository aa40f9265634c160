package observer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
)

// maxReportBytes bounds the size of the body of a report.
const maxReportBytes = 64 << 10

// Config configures an Observer.
type Config struct {
	Client *http.Client
}

// Observer fetches status reports from engines.
type Observer struct {
	client *http.Client
}

// New returns an Observer.
func New(cfg Config) *Observer {
	return &Observer{client: cfg.Client}
}

// Fetch requests the status report of the engine at address and validates it.
func (o *Observer) Fetch(ctx context.Context, address netip.AddrPort) (Report, error) {
	url := "http://" + address.String() + "/v1/control/status"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Report{}, fmt.Errorf("build report request: %w", err)
	}
	response, err := o.client.Do(request)
	if err != nil {
		return Report{}, fmt.Errorf("fetch report: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Report{}, fmt.Errorf("fetch report: unexpected status %d", response.StatusCode)
	}
	var report Report
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report); err != nil {
		return Report{}, fmt.Errorf("decode report: %w", err)
	}
	return report, report.Check()
}
