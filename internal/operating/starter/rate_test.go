package starter_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/testing/launcher"
)

const (
	// organisationLimit is the limit in requests per second across three routers.
	organisationLimit = 6.0
	rateWarmup        = 8 * time.Second
	rateWindow        = 10 * time.Second
	// maxRateFactor is the highest accepted ratio of the admitted rate to the limit.
	maxRateFactor = 1.5
	// minRateFactor is the lowest accepted ratio. It is above 2/3, the ratio if each
	// of the two loaded routers only admitted an equal third of the limit.
	minRateFactor = 0.8
)

// rateLoad sends short requests to one router, one every 25 ms unless responses
// take longer.
type rateLoad struct {
	base string

	mu         sync.Mutex
	admitted   int
	refused    int
	unexpected []string
}

func (r *rateLoad) run(ctx context.Context) {
	client := newClient()
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(25 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.sendRequest(ctx, client)
		case <-ctx.Done():
			return
		}
	}
}

func (r *rateLoad) sendRequest(ctx context.Context, client *http.Client) {
	body := `{"model": "tile-match", "prompt": "sheet", "max_tokens": 1}`
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.base+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer "+launcher.CallerKey)
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	content, _ := io.ReadAll(response.Body)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case response.StatusCode == http.StatusOK:
		r.admitted++
	case response.StatusCode == http.StatusTooManyRequests && kindOf(content) == "rate_limited" && response.Header.Get("Retry-After") != "":
		r.refused++
	default:
		r.unexpected = append(r.unexpected, string(content))
	}
}

func (r *rateLoad) counts() (admitted, refused int, unexpected []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admitted, r.refused, r.unexpected
}

func TestOrganisationRateLimitAcrossRouters(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := launcher.Deploy(t, launcher.Shape{
		VMs: 3, Engines: 2, Services: 1,
		Change: func(b *checker.Bundle) { b.Organisations[0].RequestsPerSecond = organisationLimit },
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	loads := []*rateLoad{{base: d.URL(0, "")}, {base: d.URL(1, "")}}
	var wg sync.WaitGroup
	for _, l := range loads {
		wg.Go(func() { l.run(ctx) })
	}
	<-time.After(rateWarmup)
	before := 0
	for _, l := range loads {
		admitted, _, _ := l.counts()
		before += admitted
	}
	<-time.After(rateWindow)
	after, refusals := 0, 0
	for _, l := range loads {
		admitted, refused, unexpected := l.counts()
		after += admitted
		refusals += refused
		is.Equal(unexpected, nil) // every response is 200, or 429 with kind rate_limited and Retry-After
	}
	cancel()
	wg.Wait()
	factor := float64(after-before) / rateWindow.Seconds() / organisationLimit
	t.Logf("admitted %.2f of the limit, refused %d requests", factor, refusals)
	is.True(refusals > 0)
	is.True(factor >= minRateFactor)
	is.True(factor <= maxRateFactor)
}
