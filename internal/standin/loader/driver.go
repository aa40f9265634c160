package loader

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gentianstep.example/gentianstep/internal/standin/generator"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
	"gentianstep.example/gentianstep/internal/streaming/parser"
)

// Config holds the configuration of a Driver.
type Config struct {
	Workload Workload
	Routers  []netip.AddrPort
	// RouterRegions holds the regions of Routers by index, UpstreamRegions those of
	// the upstreams by name.
	RouterRegions   []string
	UpstreamRegions map[string]string
	WeightsVersion  string
	// WarmUp is the duration of the warm-up at the start of the load. Its requests
	// are sent, but not counted.
	WarmUp time.Duration
	Client *http.Client
}

// Driver sends the requests of a load at their scheduled times and counts the
// results.
type Driver struct {
	cfg     Config
	prompts *prompts

	mu               sync.Mutex
	result           Result
	firstToken       *hdrhistogram.Histogram
	batchFirstToken  *hdrhistogram.Histogram
	crossRegionBytes int
}

// NewDriver returns a Driver with an empty result.
func NewDriver(cfg Config) *Driver {
	return &Driver{
		cfg:             cfg,
		prompts:         newPrompts(cfg.Workload),
		firstToken:      newHistogram(),
		batchFirstToken: newHistogram(),
		result: Result{
			CompleteByOrganisation: make([]int, cfg.Workload.Organisations),
			RequestsByOrganisation: make([]int, cfg.Workload.Organisations),
		},
	}
}

// Run sends arrivals in open loop and returns when all requests have ended. It
// calls onWarm before the first request after the warm-up.
func (d *Driver) Run(ctx context.Context, arrivals []Arrival, onWarm func()) Result {
	start := time.Now()
	var wg sync.WaitGroup
	warmingUp := true
	for _, a := range arrivals {
		if warmingUp && a.At >= d.cfg.WarmUp {
			warmingUp = false
			onWarm()
		}
		if generator.Pause(ctx, time.Until(start.Add(a.At))) != nil {
			break
		}
		text := d.prompts.text(a)
		counted := !warmingUp
		wg.Go(func() { d.send(ctx, a, text, counted) })
	}
	wg.Wait()
	return d.finalResult(arrivals)
}

func (d *Driver) finalResult(arrivals []Arrival) Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.result
	r.Workload = d.cfg.Workload.Name
	r.FirstToken = quantiles(d.firstToken)
	r.BatchFirstToken = quantiles(d.batchFirstToken)
	r.CrossRegionMB = float64(d.crossRegionBytes) / (1 << 20)
	if len(arrivals) > 0 {
		counted := arrivals[len(arrivals)-1].At - d.cfg.WarmUp
		r.CompletePerSecond = float64(r.Complete) / counted.Seconds()
	}
	return r
}

// outcome holds the response to one request.
type outcome struct {
	err        error
	refused    bool
	text       string
	firstToken time.Duration
	upstream   string
	bytes      int
}

func (d *Driver) send(ctx context.Context, a Arrival, text string, counted bool) {
	o := d.request(ctx, a, text)
	if !counted {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.result.Requests++
	if !a.Flood {
		d.result.RequestsByOrganisation[a.Organisation]++
	}
	switch {
	case o.refused:
		d.result.Refused++
	case o.err != nil:
		d.result.Failed++
	case o.text != d.expectedText(a, text):
		d.result.Wrong++
	default:
		d.countComplete(a, o)
	}
}

// expectedText returns the only correct response text for an arrival.
func (d *Driver) expectedText(a Arrival, text string) string {
	var answer strings.Builder
	for n := range a.MaxTokens {
		answer.WriteString(generator.Token(text, d.cfg.WeightsVersion, n))
	}
	return answer.String()
}

func (d *Driver) countComplete(a Arrival, o outcome) {
	d.result.Complete++
	d.result.Tokens += a.MaxTokens
	if !a.Flood {
		d.result.CompleteByOrganisation[a.Organisation]++
	}
	if a.Batch {
		recordLatency(d.batchFirstToken, o.firstToken)
	} else {
		recordLatency(d.firstToken, o.firstToken)
	}
	region, known := d.cfg.UpstreamRegions[o.upstream]
	if known && region != d.cfg.RouterRegions[a.Router] {
		d.crossRegionBytes += o.bytes
	}
}

func (d *Driver) request(ctx context.Context, a Arrival, text string) outcome {
	priority := "interactive"
	if a.Batch {
		priority = "batch"
	}
	body, err := json.Marshal(encoder.Request{
		Model:     d.cfg.Workload.Model,
		Prompt:    text,
		MaxTokens: a.MaxTokens,
		Stream:    true,
		Priority:  priority,
	})
	if err != nil {
		return outcome{err: err}
	}
	url := "http://" + d.cfg.Routers[a.Router].String() + "/v1/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return outcome{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+d.cfg.Workload.CallerKey(a.Organisation))
	start := time.Now()
	response, err := d.cfg.Client.Do(request)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	o := outcome{upstream: response.Header.Get(encoder.HeaderUpstream), bytes: len(body)}
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		o.refused = response.Header.Get(encoder.HeaderNotRun) == "true"
		o.err = fmt.Errorf("status %d", response.StatusCode)
		return o
	}
	o.readStream(response.Body, start)
	return o
}

// readStream reads a streamed response to its end.
func (o *outcome) readStream(body io.Reader, start time.Time) {
	events := parser.NewReader(body)
	var text strings.Builder
	for {
		event, err := events.Next()
		if err != nil {
			o.err = err
			return
		}
		if event.Name == "error" {
			o.err = errors.New(event.Data)
			return
		}
		if event.Data == encoder.Done {
			o.text = text.String()
			return
		}
		c, err := encoder.DecodeChunk([]byte(event.Data))
		if err != nil {
			o.err = err
			return
		}
		if o.firstToken == 0 {
			o.firstToken = time.Since(start)
		}
		text.WriteString(c.Text())
		o.bytes += len(event.Data)
	}
}
