package receiver_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/standin/disrupter"
	"gentianstep.example/gentianstep/internal/standin/generator"
	"gentianstep.example/gentianstep/internal/standin/recorder"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
	"gentianstep.example/gentianstep/internal/streaming/parser"
	"gentianstep.example/gentianstep/internal/testing/launcher"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

const (
	processTokens = 100
	// processTimeout bounds one proof with real processes.
	processTimeout = 60 * time.Second
)

// engineRow is what happens to the serving engine process midway.
type engineRow struct {
	Name string `json:"name"`
	// Do is kill or freeze.
	Do string `json:"do"`
	// AtChunk is the chunk after which it happens.
	AtChunk uint64 `json:"at_chunk"`
	// GapMillis bounds the longest wait between two chunks.
	GapMillis int64 `json:"gap_millis"`
}

func TestStreamSurvivesItsEngineProcess(t *testing.T) {
	t.Parallel()
	var rows []engineRow
	scripter.Read(t, "testdata/engine_processes.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			runEngineRow(t, row)
		})
	}
}

func runEngineRow(t *testing.T, row engineRow) {
	is := is.New(t)
	d := launcher.Deploy(t, launcher.Shape{VMs: 1, Engines: 2, EngineArgs: []string{"--token-interval", "20ms"}})
	ctx, cancel := context.WithTimeout(t.Context(), processTimeout)
	defer cancel()
	prompt := strings.Repeat("catalogue sheet ", 50)
	body, err := json.Marshal(encoder.Request{Model: "tile-match", Prompt: prompt, MaxTokens: processTokens, Stream: true})
	is.NoErr(err)
	response := send(ctx, t, d.URL(0, "/v1/completions"), "", body)
	defer func() { _ = response.Body.Close() }()
	is.Equal(response.StatusCode, http.StatusOK)
	events := parser.NewReader(bufio.NewReader(response.Body))
	text, gap, last := "", time.Duration(0), time.Now()
	for number := uint64(1); ; number++ {
		event, err := events.Next()
		is.NoErr(err)
		if event.Data == encoder.Done {
			break
		}
		gap, last = max(gap, time.Since(last)), time.Now()
		is.Equal(event.Name, "") // no error event
		is.Equal(event.ID, number)
		c, err := encoder.DecodeChunk([]byte(event.Data))
		is.NoErr(err)
		text += c.Text()
		if number == row.AtChunk {
			strike(t, d, row.Do)
		}
	}
	want := ""
	for n := range processTokens {
		want += generator.Token(prompt, "w1", n)
	}
	is.Equal(text, want)
	t.Logf("longest wait between two chunks: %s", gap)
	is.True(gap <= time.Duration(row.GapMillis)*time.Millisecond)
}

// strike finds the engine that runs the one request and strikes it.
func strike(t *testing.T, d *launcher.Deployment, what string) {
	t.Helper()
	for _, engine := range d.Engines {
		var stats generator.Stats
		getJSON(t, "http://"+engine.Address.String()+"/v1/control/stats", &stats)
		if stats.Requests == 0 {
			continue
		}
		if what == "freeze" {
			engine.Freeze()
			return
		}
		engine.Kill()
		return
	}
	t.Fatal("no engine serves")
}

// send posts a request as the caller of the deployment.
func send(ctx context.Context, t *testing.T, url, key string, body []byte) *http.Response {
	t.Helper()
	response, err := trySend(ctx, url, key, body)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

func trySend(ctx context.Context, url, key string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+launcher.CallerKey)
	if key != "" {
		request.Header.Set(encoder.HeaderIdempotencyKey, key)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return client.Do(request)
}

func getJSON(t *testing.T, url string, into any) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	is.New(t).NoErr(err)
	response, err := http.DefaultClient.Do(request)
	is.New(t).NoErr(err)
	defer func() { _ = response.Body.Close() }()
	is.New(t).NoErr(json.NewDecoder(response.Body).Decode(into))
}

// orders is a deployment of two routers before one plain service.
type orders struct {
	*launcher.Deployment
	t *testing.T
}

func newOrders(t *testing.T) orders {
	t.Helper()
	return orders{Deployment: launcher.Deploy(t, launcher.Shape{VMs: 2, Engines: 1, Services: 1}), t: t}
}

// inject has the service's stand-in misbehave.
func (o orders) inject(f disrupter.Fault) {
	o.t.Helper()
	data, err := json.Marshal([]disrupter.Fault{f})
	is.New(o.t).NoErr(err)
	response := send(o.t.Context(), o.t, "http://"+o.Services[0].Address.String()+disrupter.PathFaults, "", data)
	_ = response.Body.Close()
	is.New(o.t).Equal(response.StatusCode, http.StatusNoContent)
}

func (o orders) ledger() []recorder.Entry {
	o.t.Helper()
	var entries []recorder.Entry
	getJSON(o.t, "http://"+o.Services[0].Address.String()+"/v1/control/ledger", &entries)
	return entries
}

// order places an order at router i and returns the status and the refusal.
func (o orders) order(ctx context.Context, i int, key string) (int, refusalBody, error) {
	response, err := trySend(ctx, o.URL(i, "/v1/services/sample-desk/orders"), key, []byte(`{"tile": "T-100"}`))
	if err != nil {
		return 0, refusalBody{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, refusalBody{}, err
	}
	var refusal refusalBody
	if response.StatusCode != http.StatusOK {
		err = json.Unmarshal(data, &refusal)
	}
	return response.StatusCode, refusal, err
}

func TestOrderRunsOnceWhenItsRouterDiesOrFreezes(t *testing.T) {
	t.Parallel()
	for _, what := range []string{"kill", "freeze"} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			runOrderRow(t, what)
		})
	}
}

func runOrderRow(t *testing.T, what string) {
	is := is.New(t)
	o := newOrders(t)
	ctx, cancel := context.WithTimeout(t.Context(), processTimeout)
	defer cancel()
	o.inject(disrupter.Fault{Method: http.MethodPost, Place: disrupter.AfterRun, Kind: disrupter.Silent, Times: 1})
	first := make(chan error, 1)
	go func() {
		_, refusal, err := o.order(ctx, 0, "order-1")
		if err == nil && refusal.Error.Kind != classifier.OutcomeUnknown {
			err = fmt.Errorf("first arrival: got kind %q", refusal.Error.Kind)
		}
		first <- err
	}()
	launcher.Until(t, 10*time.Second, "order ran", func() bool { return len(o.ledger()) == 1 })
	if what == "kill" {
		o.VMs[0].Router.Kill()
		is.True(<-first != nil) // the caller's connection broke
	} else {
		o.VMs[0].Router.Freeze()
	}
	_, refusal, err := o.order(ctx, 1, "order-1")
	is.NoErr(err)
	is.Equal(refusal.Error.Kind, classifier.AlreadyClaimed)
	is.True(!refusal.Error.NotRun)
	if what == "freeze" {
		o.VMs[0].Router.Thaw()
		is.NoErr(<-first) // its outcome is unknown, and said so
	}
	is.Equal(len(o.ledger()), 1) // one run for the key
}

func TestOrdersDuringAnOutageOfTheStore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	o := newOrders(t)
	o.Platform.Kill()
	start := time.Now()
	status, refusal, err := o.order(t.Context(), 0, "order-1")
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(refusal.Error.Kind, classifier.StoreUnavailable)
	is.True(refusal.Error.NotRun)
	is.True(refusal.Error.RetryAfterSeconds > 0)
	is.True(time.Since(start) < 2*time.Second) // at once
	is.Equal(len(o.ledger()), 0)
	status, _, err = o.order(t.Context(), 0, "")
	is.NoErr(err)
	is.Equal(status, http.StatusOK) // without a key no store is needed
	is.Equal(len(o.ledger()), 1)
}
