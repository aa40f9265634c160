// Package orderer sends placement orders to engines.
package orderer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/placement/planner"
)

// maxAnswerBytes bounds the answer to one order.
const maxAnswerBytes = 16 << 10

// Config holds what an Orderer is built from.
type Config struct {
	Client *http.Client
}

// Orderer sends orders over HTTP.
type Orderer struct {
	client *http.Client
}

// New returns an Orderer.
func New(cfg Config) *Orderer {
	return &Orderer{client: cfg.Client}
}

// Send sends m once and tells what became of it. The outcome is unknown unless
// the engine itself answered.
func (o *Orderer) Send(ctx context.Context, address netip.AddrPort, m Message) (planner.Outcome, error) {
	ctx, cancel := context.WithDeadline(ctx, m.Deadline)
	defer cancel()
	body, err := json.Marshal(m)
	if err != nil {
		return planner.Refused, fmt.Errorf("encode order: %w", err)
	}
	url := "http://" + address.String() + Path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return planner.Refused, fmt.Errorf("order request: %w", err)
	}
	request.GetBody = nil
	response, err := o.client.Do(request)
	if err != nil {
		return planner.Unknown, classifier.Wrap(classifier.UpstreamFailed, err, "order not answered")
	}
	defer func() { _ = response.Body.Close() }()
	return outcome(response)
}

func outcome(response *http.Response) (planner.Outcome, error) {
	switch response.StatusCode {
	case http.StatusOK, http.StatusAccepted:
		return planner.Accepted, nil
	case http.StatusConflict:
		return planner.Refused, refusal(response.Body)
	case http.StatusBadRequest, http.StatusNotFound:
		return planner.Refused, classifier.New(classifier.UpstreamRefused, "order answered with status %d", response.StatusCode)
	}
	return planner.Unknown, classifier.New(classifier.UpstreamFailed, "order answered with status %d", response.StatusCode)
}

func refusal(body io.Reader) error {
	var r Refusal
	if err := json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(&r); err != nil {
		return classifier.Wrap(classifier.UpstreamRefused, err, "order refused")
	}
	if r.Reason == OldFencing {
		return classifier.New(classifier.FencingRefused, "upstream has seen fencing number %d", r.FencingNumber)
	}
	return classifier.New(classifier.UpstreamRefused, "order refused: %s", r.Reason)
}
