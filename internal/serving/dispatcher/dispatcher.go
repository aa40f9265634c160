// Package dispatcher takes one request to an upstream and its answer back.
package dispatcher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
	"gentianstep.example/gentianstep/internal/streaming/parser"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// Config holds what a Dispatcher is built from.
type Config struct {
	Caller  *caller.Caller
	Chooser Chooser
	Log     *logrus.Entry
}

// Dispatcher serves completion requests and calls of plain services.
type Dispatcher struct {
	cfg Config
}

// New returns a Dispatcher.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{cfg: cfg}
}

// Complete serves j and hands its answer to sink. An error after the first
// chunk means that the answer is not whole.
func (d *Dispatcher) Complete(ctx context.Context, j Job, sink Sink) error {
	body, err := upstreamBody(j.Request)
	if err != nil {
		return err
	}
	excluded := make(map[string]bool)
	relay := &relay{id: j.ID, sink: sink}
	var last error
	for attempt := 1; attempt <= j.Bundle.Policy.Attempts.MaxAttempts; attempt++ {
		choice, err := d.cfg.Chooser.Choose(ctx, j, attempt, excluded)
		if err != nil {
			return errors.Join(err, last)
		}
		d.cfg.Chooser.Sent(time.Now(), choice)
		err = d.attempt(ctx, choice.Target, j, attempt, body, relay)
		if err == nil {
			d.cfg.Chooser.Finished(time.Now(), choice)
			return nil
		}
		d.cfg.Chooser.Failed(time.Now(), choice, err)
		if relay.passed > 0 || ctx.Err() != nil {
			return classifier.Wrap(classifier.StreamBroken, err, "the answer broke off after %d chunks", relay.passed)
		}
		excluded[choice.Target.Name] = true
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
