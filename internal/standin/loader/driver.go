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

// Config holds what a Driver is built from.
type Config struct {
	Workload Workload
	Routers  []netip.AddrPort
	// RouterRegions are the regions of the routers, UpstreamRegions those of
	// the upstreams by name.
	RouterRegions   []string
	UpstreamRegions map[string]string
	WeightsVersion  string
	// Warm is the first part of the load, which is not counted.
	Warm   time.Duration
	Client *http.Client
}

// Driver sends the arrivals of a load at their times.
type Driver struct {
	cfg   Config
	texts *prompts

	mu       sync.Mutex
	result   Result
	first    *hdrhistogram.Histogram
	batch    *hdrhistogram.Histogram
	crossing int
}

// NewDriver returns a Driver that has counted nothing.
func NewDriver(cfg Config) *Driver {
	return &Driver{
		cfg:   cfg,
		texts: newPrompts(cfg.Workload),
		first: newHistogram(),
		batch: newHistogram(),
		result: Result{
			ByOrganisation: make([]int, cfg.Workload.Organisations),
			Asked:          make([]int, cfg.Workload.Organisations),
		},
	}
}

// Run sends arrivals in open loop and returns when all have ended. It calls
// counting once the warm part is over.
func (d *Driver) Run(ctx context.Context, arrivals []Arrival, counting func()) Result {
	start := time.Now()
	var wg sync.WaitGroup
	warm := true
	for _, a := range arrivals {
		if warm && a.At >= d.cfg.Warm {
			warm = false
			counting()
		}
		if generator.Pause(ctx, time.Until(start.Add(a.At))) != nil {
			break
		}
		text := d.texts.text(a)
		counted := !warm
		wg.Go(func() { d.send(ctx, a, text, counted) })
	}
	wg.Wait()
	return d.finish(arrivals)
}

func (d *Driver) finish(arrivals []Arrival) Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.result
	r.Workload = d.cfg.Workload.Name
	r.FirstToken = latency(d.first)
	r.BatchFirst = latency(d.batch)
	r.CrossingMB = float64(d.crossing) / (1 << 20)
	if len(arrivals) > 0 {
		counted := arrivals[len(arrivals)-1].At - d.cfg.Warm
		r.WholePerSec = float64(r.Whole) / counted.Seconds()
	}
	return r
}

// outcome is what came back for one request.
type outcome struct {
	err      error
	refused  bool
	text     string
	first    time.Duration
	upstream string
	bytes    int
}

func (d *Driver) send(ctx context.Context, a Arrival, text string, counted bool) {
	o := d.ask(ctx, a, text)
	if !counted {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.result.Requests++
	if !a.Flood {
		d.result.Asked[a.Organisation]++
	}
	switch {
	case o.refused:
		d.result.Refused++
	case o.err != nil:
		d.result.Broken++
	case o.text != d.right(a, text):
		d.result.Wrong++
	default:
		d.count(a, o)
	}
}

// right returns the one right answer to a.
func (d *Driver) right(a Arrival, text string) string {
	var answer strings.Builder
	for n := range a.MaxTokens {
		answer.WriteString(generator.Token(text, d.cfg.WeightsVersion, n))
	}
	return answer.String()
}

func (d *Driver) count(a Arrival, o outcome) {
	d.result.Whole++
	d.result.Tokens += a.MaxTokens
	if !a.Flood {
		d.result.ByOrganisation[a.Organisation]++
	}
	if a.Batch {
		record(d.batch, o.first)
	} else {
		record(d.first, o.first)
	}
	region, known := d.cfg.UpstreamRegions[o.upstream]
	if known && region != d.cfg.RouterRegions[a.Router] {
		d.crossing += o.bytes
	}
}

func (d *Driver) ask(ctx context.Context, a Arrival, text string) outcome {
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
	begin := time.Now()
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
	o.read(response.Body, begin)
	return o
}

// read reads a streamed answer to its end.
func (o *outcome) read(body io.Reader, begin time.Time) {
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
		if o.first == 0 {
			o.first = time.Since(begin)
		}
		text.WriteString(c.Text())
		o.bytes += len(event.Data)
	}
}
