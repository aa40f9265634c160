package starter_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gentianstep.example/gentianstep/internal/testing/launcher"
)

// loadLock prevents load tests from running during latency measurements. Tests
// that measure latency hold it exclusively; tests that generate load share it.
var loadLock sync.RWMutex

// acquireLoadLock holds loadLock in shared mode for the rest of a test.
func acquireLoadLock(t *testing.T) {
	t.Helper()
	loadLock.RLock()
	t.Cleanup(loadLock.RUnlock)
}

// errTruncated is returned for a stream that ended without its final [DONE]
// event or with too few events.
var errTruncated = errors.New("stream was truncated")

// newClient returns a client with its own pool of keep-alive connections.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
}

// sendCompletion sends one streaming completion request and reads the response
// to its end. The body cannot be rewound, so that net/http does not hide a
// failure by retrying the request.
func sendCompletion(ctx context.Context, client *http.Client, base string, tokens int) error {
	body := fmt.Sprintf(`{"model": "tile-match", "prompt": "catalogue sheet", "max_tokens": %d, "stream": true}`, tokens)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/completions", io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return err
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Authorization", "Bearer "+launcher.CallerKey)
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return readStream(response.Body, tokens)
}

func readStream(body io.Reader, tokens int) error {
	lines := bufio.NewScanner(body)
	events := 0
	for lines.Scan() {
		line := lines.Text()
		if line == "data: [DONE]" {
			if events < tokens {
				return fmt.Errorf("%w: %d events of %d", errTruncated, events, tokens)
			}
			return nil
		}
		if strings.HasPrefix(line, "id: ") {
			events++
		}
	}
	return errors.Join(errTruncated, lines.Err())
}

// timeToFirstResponse sends requests until one succeeds and returns the time
// since begin.
func timeToFirstResponse(ctx context.Context, base string, begin time.Time) (time.Duration, error) {
	client := newClient()
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		if sendCompletion(ctx, client, base, 1) == nil {
			return time.Since(begin), nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

func contextWithTimeout(t *testing.T, limit time.Duration) (context.Context, context.CancelFunc) {
	t.Helper()
	return context.WithTimeout(t.Context(), limit)
}

func containsAll(text []byte, parts ...string) bool {
	for _, part := range parts {
		if !strings.Contains(string(text), part) {
			return false
		}
	}
	return true
}
