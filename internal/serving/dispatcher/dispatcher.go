// Package dispatcher takes one request to an upstream and its answer back.
package dispatcher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/routing/selector"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
	"gentianstep.example/gentianstep/internal/streaming/parser"
	"gentianstep.example/gentianstep/internal/upstream/caller"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

// Config holds what a Dispatcher is built from.
type Config struct {
	Region           string
	AvailabilityZone string
	Caller           *caller.Caller
	Policy           selector.Policy
	Log              *logrus.Entry
}

// Dispatcher serves completion requests and calls of plain services.
type Dispatcher struct {
	cfg     Config
	beliefs *beliefs

	mu     sync.Mutex
	policy selector.Policy
}

// New returns a Dispatcher that knows of no reports.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{cfg: cfg, beliefs: newBeliefs(), policy: cfg.Policy}
}

// Observe takes reports of engines.
func (d *Dispatcher) Observe(reports []observer.Report) {
	d.beliefs.observe(reports)
}

// Complete serves j and hands its answer to sink. An error after the first
// chunk means that the answer is not whole.
func (d *Dispatcher) Complete(ctx context.Context, j Job, sink Sink) error {
	body, err := upstreamBody(j.Request)
	if err != nil {
		return err
	}
	scope := hasher.Scope{
		Organisation:   j.Organisation.Name,
		Model:          j.Model.Name,
		WeightsVersion: j.Model.WeightsVersion,
	}
	prompt := j.Request.Text()
	request := selector.Request{
		ID:               j.ID,
		Organisation:     j.Organisation.Name,
		Model:            j.Model.Name,
		WeightsVersion:   j.Model.WeightsVersion,
		Region:           d.cfg.Region,
		AvailabilityZone: d.cfg.AvailabilityZone,
		Chain:            hasher.Chain(scope, prompt),
		PromptBytes:      len(prompt),
		MaxTokens:        j.Request.MaxTokens,
		Interactive:      j.Priority == checker.Interactive,
	}
	excluded := make(map[string]bool)
	relay := &relay{id: j.ID, sink: sink}
	var last error
	for attempt := 1; attempt <= j.Bundle.Policy.Attempts.MaxAttempts; attempt++ {
		target, err := d.choose(j, request, excluded, attempt)
		if err != nil {
			return errors.Join(err, last)
		}
		err = d.attempt(ctx, target, j, attempt, body, relay)
		if err == nil {
			return nil
		}
		if relay.passed > 0 || ctx.Err() != nil {
			return classifier.Wrap(classifier.StreamBroken, err, "the answer broke off after %d chunks", relay.passed)
		}
		excluded[target.Name] = true
		last = err
	}
	return classifier.Wrap(classifier.UpstreamFailed, last, "no attempt succeeded")
}

// upstreamBody returns the request as engines take it: always streamed, so
// that a whole answer can be told from a part.
func upstreamBody(r encoder.Request) ([]byte, error) {
	r.Stream = true
	r.Priority = ""
	body, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	return body, nil
}

func (d *Dispatcher) choose(j Job, request selector.Request, excluded map[string]bool, attempt int) (caller.Target, error) {
	candidates := d.beliefs.candidates(j.Bundle, j.Model, excluded)
	d.mu.Lock()
	decision := d.policy.Select(time.Now(), request, candidates)
	name := d.policy.Name()
	d.mu.Unlock()
	d.cfg.Log.WithFields(logrus.Fields{
		"event":          "route",
		"request_id":     j.ID,
		"attempt":        attempt,
		"organisation":   j.Organisation.Name,
		"model":          j.Model.Name,
		"policy":         name,
		"chosen":         decision.Chosen,
		"reason":         decision.Reason,
		"missing_blocks": decision.Missing,
		"candidates":     len(candidates),
		"costs":          decision.Costs,
	}).Info("routing decision")
	u, ok := j.Bundle.Upstream(decision.Chosen)
	if !ok {
		return caller.Target{}, classifier.New(classifier.NoUpstream, "no upstream serves model %s now", j.Model.Name)
	}
	return caller.Target{Name: u.Name, Address: u.Address}, nil
}

func (d *Dispatcher) attempt(ctx context.Context, target caller.Target, j Job, attempt int, body []byte, relay *relay) error {
	response, err := d.cfg.Caller.Do(ctx, target, caller.Call{
		RequestID:      j.ID,
		Attempt:        attempt,
		Method:         http.MethodPost,
		Path:           j.Path,
		Organisation:   j.Organisation.Name,
		WeightsVersion: j.Model.WeightsVersion,
		Priority:       string(j.Priority),
		ContentType:    "application/json",
		Body:           body,
	})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		notRun := response.Header.Get(encoder.HeaderNotRun) == "true"
		return &caller.Failure{Upstream: target.Name, Status: response.StatusCode, NotRun: notRun}
	}
	if err := relay.copy(parser.NewReader(response.Body)); err != nil {
		return &caller.Failure{Upstream: target.Name, Err: err}
	}
	return nil
}

// relay hands the events of an answer to a sink, each once and in order.
type relay struct {
	id     string
	sink   Sink
	passed uint64
}

func (r *relay) copy(events *parser.Reader) error {
	finished := false
	for {
		event, err := events.Next()
		if err != nil {
			return noEOF(err)
		}
		if event.Data == encoder.Done {
			if !finished {
				return errors.New("stream ended before its finish reason")
			}
			return nil
		}
		c, err := encoder.DecodeChunk([]byte(event.Data))
		if err != nil {
			return err
		}
		if c.ID != r.id {
			return fmt.Errorf("chunk of request %q", c.ID)
		}
		if event.ID <= r.passed {
			continue
		}
		if event.ID != r.passed+1 {
			return fmt.Errorf("chunk %d after chunk %d", event.ID, r.passed)
		}
		if err := r.sink.Chunk(event.ID, c); err != nil {
			return err
		}
		r.passed = event.ID
		finished = c.Finished() != ""
	}
}

// noEOF turns an end of the connection into an error that says so.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
