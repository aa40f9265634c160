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
	// processTimeout is the time limit of one test with real processes.
	processTimeout = 60 * time.Second
)

// engineFaultCase is a fault of the engine process that serves a stream.
type engineFaultCase struct {
	Name string `json:"name"`
	// Fault is kill or freeze.
	Fault string `json:"do"`
	// AtChunk is the number of the chunk after which the fault is injected.
	AtChunk uint64 `json:"at_chunk"`
	// GapMillis is the maximum time between two chunks, in milliseconds.
	GapMillis int64 `json:"gap_millis"`
}

func TestStreamSurvivesEngineProcessFailure(t *testing.T) {
	t.Parallel()
	var cases []engineFaultCase
	scripter.Read(t, "testdata/engine_processes.json", &cases)
	for _, tc := range cases {
		t.Run(tc.Name, func(t *testing.T) {
			t.Parallel()
			runEngineFaultCase(t, tc)
		})
	}
}

func runEngineFaultCase(t *testing.T, tc engineFaultCase) {
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
	text, maxGap, lastChunk := "", time.Duration(0), time.Now()
	for number := uint64(1); ; number++ {
		event, err := events.Next()
		is.NoErr(err)
		if event.Data == encoder.Done {
			break
		}
		maxGap, lastChunk = max(maxGap, time.Since(lastChunk)), time.Now()
		is.Equal(event.Name, "") // not an error event
		is.Equal(event.ID, number)
		c, err := encoder.DecodeChunk([]byte(event.Data))
		is.NoErr(err)
		text += c.Text()
		if number == tc.AtChunk {
			faultServingEngine(t, d, tc.Fault)
		}
	}
	want := ""
	for n := range processTokens {
		want += generator.Token(prompt, "w1", n)
	}
	is.Equal(text, want)
	t.Logf("maximum time between two chunks: %s", maxGap)
	is.True(maxGap <= time.Duration(tc.GapMillis)*time.Millisecond)
}

// faultServingEngine kills or freezes the engine process that has received the
// request.
func faultServingEngine(t *testing.T, d *launcher.Deployment, fault string) {
	t.Helper()
	for _, engine := range d.Engines {
		var stats generator.Stats
		getJSON(t, "http://"+engine.Address.String()+"/v1/control/stats", &stats)
		if stats.Requests == 0 {
			continue
		}
		if fault == "freeze" {
			engine.Freeze()
			return
		}
		engine.Kill()
		return
	}
	t.Fatal("no engine has received the request")
}

// send posts a request with the API key of the deployment's caller.
func send(ctx context.Context, t *testing.T, url, key string, body []byte) *http.Response {
	t.Helper()
	response, err := trySend(ctx, url, key, body)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// trySend is send for requests that may fail.
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

// serviceFixture is a deployment of two routers and one plain service.
type serviceFixture struct {
	*launcher.Deployment
	t *testing.T
}

func newServiceFixture(t *testing.T) serviceFixture {
	t.Helper()
	return serviceFixture{Deployment: launcher.Deploy(t, launcher.Shape{VMs: 2, Engines: 1, Services: 1}), t: t}
}

// inject configures the stand-in of the service to inject fault.
func (f serviceFixture) inject(fault disrupter.Fault) {
	f.t.Helper()
	data, err := json.Marshal([]disrupter.Fault{fault})
	is.New(f.t).NoErr(err)
	response := send(f.t.Context(), f.t, "http://"+f.Services[0].Address.String()+disrupter.PathFaults, "", data)
	_ = response.Body.Close()
	is.New(f.t).Equal(response.StatusCode, http.StatusNoContent)
}

// executedCalls returns the calls that the stand-in of the service has run.
func (f serviceFixture) executedCalls() []recorder.Entry {
	f.t.Helper()
	var entries []recorder.Entry
	getJSON(f.t, "http://"+f.Services[0].Address.String()+"/v1/control/ledger", &entries)
	return entries
}

// placeOrder calls the service through router i and returns the status and, unless
// it is 200, the error response.
func (f serviceFixture) placeOrder(ctx context.Context, i int, key string) (int, errorResponse, error) {
	response, err := trySend(ctx, f.URL(i, "/v1/services/sample-desk/orders"), key, []byte(`{"tile": "T-100"}`))
	if err != nil {
		return 0, errorResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, errorResponse{}, err
	}
	var failure errorResponse
	if response.StatusCode != http.StatusOK {
		err = json.Unmarshal(data, &failure)
	}
	return response.StatusCode, failure, err
}

func TestServiceCallRunsOnceAfterRouterFailure(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"kill", "freeze"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			runRouterFaultCase(t, fault)
		})
	}
}

// runRouterFaultCase sends a call whose response never arrives, lets the router
// that holds its idempotency key fail, and repeats the call at the second router.
func runRouterFaultCase(t *testing.T, fault string) {
	is := is.New(t)
	f := newServiceFixture(t)
	ctx, cancel := context.WithTimeout(t.Context(), processTimeout)
	defer cancel()
	f.inject(disrupter.Fault{Method: http.MethodPost, Place: disrupter.AfterRun, Kind: disrupter.Silent, Times: 1})
	first := make(chan error, 1)
	go func() {
		_, failure, err := f.placeOrder(ctx, 0, "order-1")
		if err == nil && failure.Error.Kind != classifier.OutcomeUnknown {
			err = fmt.Errorf("first call: got kind %q, want outcome_unknown", failure.Error.Kind)
		}
		first <- err
	}()
	launcher.Until(t, 10*time.Second, "the service runs the call", func() bool { return len(f.executedCalls()) == 1 })
	if fault == "kill" {
		f.VMs[0].Router.Kill()
		is.True(<-first != nil) // the connection of the caller is closed
	} else {
		f.VMs[0].Router.Freeze()
	}
	_, failure, err := f.placeOrder(ctx, 1, "order-1")
	is.NoErr(err)
	is.Equal(failure.Error.Kind, classifier.AlreadyClaimed)
	is.True(!failure.Error.NotRun)
	if fault == "freeze" {
		f.VMs[0].Router.Thaw()
		is.NoErr(<-first) // the first call reports an unknown outcome
	}
	is.Equal(len(f.executedCalls()), 1) // the service ran the call once
}

func TestServiceCallsDuringStoreOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newServiceFixture(t)
	f.Platform.Kill()
	start := time.Now()
	status, failure, err := f.placeOrder(t.Context(), 0, "order-1")
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(failure.Error.Kind, classifier.StoreUnavailable)
	is.True(failure.Error.NotRun)
	is.True(failure.Error.RetryAfterSeconds > 0)
	is.True(time.Since(start) < 2*time.Second) // fails without waiting for the store
	is.Equal(len(f.executedCalls()), 0)
	status, _, err = f.placeOrder(t.Context(), 0, "")
	is.NoErr(err)
	is.Equal(status, http.StatusOK) // without a key the store is not needed
	is.Equal(len(f.executedCalls()), 1)
}
