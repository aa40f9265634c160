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
	// fleetLimit is in requests a second over three routers.
	fleetLimit = 6.0
	rateWarmup = 8 * time.Second
	rateWindow = 10 * time.Second
	// rateExcess is the factor of the limit that the fleet stays within.
	rateExcess = 1.5
	// rateUse is above the even parts of the two routers that have demand.
	rateUse = 0.8
)

// rated sends short requests to one router as fast as answers come.
type rated struct {
	base string

	mu       sync.Mutex
	admitted int
	refused  int
	wrong    []string
}

func (r *rated) run(ctx context.Context) {
	client := newClient()
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(25 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.ask(ctx, client)
		case <-ctx.Done():
			return
		}
	}
}

func (r *rated) ask(ctx context.Context, client *http.Client) {
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
	answer, _ := io.ReadAll(response.Body)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case response.StatusCode == http.StatusOK:
		r.admitted++
	case response.StatusCode == http.StatusTooManyRequests && kindOf(answer) == "rate_limited" && response.Header.Get("Retry-After") != "":
		r.refused++
	default:
		r.wrong = append(r.wrong, string(answer))
	}
}

func (r *rated) counts() (admitted, refused int, wrong []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admitted, r.refused, r.wrong
}

func TestLimitOfAnOrganisationOverThreeRouters(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := launcher.Deploy(t, launcher.Shape{
		VMs: 3, Engines: 2, Services: 1,
		Change: func(b *checker.Bundle) { b.Organisations[0].RequestsPerSecond = fleetLimit },
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	loads := []*rated{{base: d.URL(0, "")}, {base: d.URL(1, "")}}
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
		admitted, refused, wrong := l.counts()
		after += admitted
		refusals += refused
		is.Equal(wrong, nil) // refusals are rate_limited with Retry-After
	}
	cancel()
	wg.Wait()
	factor := float64(after-before) / rateWindow.Seconds() / fleetLimit
	t.Logf("%.2f of the limit admitted, %d refused", factor, refusals)
	is.True(refusals > 0)
	is.True(factor >= rateUse)
	is.True(factor <= rateExcess)
}
