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

// quiet keeps the load of this package's tests away from those that take the
// time: these hold it alone, all others share it.
var quiet sync.RWMutex

// busy marks the rest of a test as load.
func busy(t *testing.T) {
	t.Helper()
	quiet.RLock()
	t.Cleanup(quiet.RUnlock)
}

// errCut reports a stream that ended before its end was told.
var errCut = errors.New("stream was cut")

// newClient returns a client with connections of its own that it keeps open.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
}

// complete sends one streamed request and reads its answer to the end. The
// body cannot be rewound, so that the client hides no failure by a second try.
func complete(ctx context.Context, client *http.Client, base string, tokens int) error {
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
				return fmt.Errorf("%w: %d events of %d", errCut, events, tokens)
			}
			return nil
		}
		if strings.HasPrefix(line, "id: ") {
			events++
		}
	}
	return errors.Join(errCut, lines.Err())
}

// firstAnswer sends requests until one is served and returns how long that
// took from begin.
func firstAnswer(ctx context.Context, base string, begin time.Time) (time.Duration, error) {
	client := newClient()
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		if complete(ctx, client, base, 1) == nil {
			return time.Since(begin), nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

func contextWithin(t *testing.T, limit time.Duration) (context.Context, context.CancelFunc) {
	t.Helper()
	return context.WithTimeout(t.Context(), limit)
}

func contains(text []byte, parts ...string) bool {
	for _, part := range parts {
		if !strings.Contains(string(text), part) {
			return false
		}
	}
	return true
}
