// Package orderer sends placement orders to engines over HTTP.
package orderer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/placement/planner"
	"gentianstep.example/gentianstep/internal/upstream/noticer"
)

// maxResponseBytes limits the size of the response to one order.
const maxResponseBytes = 16 << 10

// Config holds the dependencies of an Orderer.
type Config struct {
	// Client opens a connection for each order.
	Client *http.Client
}

// Orderer sends orders over HTTP.
type Orderer struct {
	client *http.Client
}

// New returns an Orderer that sends its orders with the client of cfg.
func New(cfg Config) *Orderer {
	return &Orderer{client: cfg.Client}
}

// Send sends m once, without a retry, and returns its outcome. The outcome is
// Unknown if no response came from the engine itself.
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
		return planner.Refused, fmt.Errorf("create request for order: %w", err)
	}
	request.GetBody = nil
	response, err := o.client.Do(request)
	if errors.Is(err, noticer.ErrWithheld) {
		return planner.Refused, classifier.Wrap(classifier.UpstreamRefused, err, "order not sent")
	}
	if err != nil {
		return planner.Unknown, classifier.Wrap(classifier.UpstreamFailed, err, "order not answered")
	}
	defer func() { _ = response.Body.Close() }()
	return outcomeOf(response)
}

// outcomeOf derives the outcome of an order from the response status. A status
// that is not listed, such as a server error, leaves the outcome unknown.
func outcomeOf(response *http.Response) (planner.Outcome, error) {
	switch response.StatusCode {
	case http.StatusOK, http.StatusAccepted:
		return planner.Accepted, nil
	case http.StatusConflict:
		return planner.Refused, decodeRefusal(response.Body)
	case http.StatusBadRequest, http.StatusNotFound:
		return planner.Refused, classifier.New(classifier.UpstreamRefused, "order answered with status %d", response.StatusCode)
	}
	return planner.Unknown, classifier.New(classifier.UpstreamFailed, "order answered with status %d", response.StatusCode)
}

// decodeRefusal decodes the body of a refusal into an error.
func decodeRefusal(body io.Reader) error {
	var r Refusal
	if err := json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(&r); err != nil {
		return classifier.Wrap(classifier.UpstreamRefused, err, "order refused")
	}
	if r.Reason == OldFencing {
		return classifier.New(classifier.FencingRefused, "upstream has seen fencing number %d", r.FencingNumber)
	}
	return classifier.New(classifier.UpstreamRefused, "order refused: %s", r.Reason)
}
