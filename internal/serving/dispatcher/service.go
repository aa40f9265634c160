package dispatcher

import (
	"context"
	"io"
	"net/http"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// maxServiceAnswerBytes bounds the answer of one call.
const maxServiceAnswerBytes = 4 << 20

// ServiceJob is one checked call of a plain service.
type ServiceJob struct {
	ID             string
	Bundle         *checker.Bundle
	Organisation   checker.Organisation
	Service        checker.Service
	Method         string
	Path           string
	ContentType    string
	IdempotencyKey string
	Body           []byte
}

// ServiceAnswer is the whole answer of a plain service.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Call runs j at one upstream of its service, once.
func (d *Dispatcher) Call(ctx context.Context, j ServiceJob) (ServiceAnswer, error) {
	u, ok := j.Bundle.Upstream(j.Service.Upstreams[0])
	if !ok {
		return ServiceAnswer{}, classifier.New(classifier.NoUpstream, "service %s has no upstream", j.Service.Name)
	}
	d.cfg.Log.WithFields(logrus.Fields{
		"event":        "route",
		"request_id":   j.ID,
		"organisation": j.Organisation.Name,
		"service":      j.Service.Name,
		"chosen":       u.Name,
		"reason":       "first_upstream",
		"idempotent":   j.Service.Idempotent(j.Method, j.Path),
	}).Info("routing decision")
	response, err := d.cfg.Caller.Do(ctx, caller.Target{Name: u.Name, Address: u.Address}, caller.Call{
		RequestID:      j.ID,
		Attempt:        1,
		Method:         j.Method,
		Path:           j.Path,
		Organisation:   j.Organisation.Name,
		IdempotencyKey: j.IdempotencyKey,
		ContentType:    j.ContentType,
		Body:           j.Body,
	})
	if err != nil {
		return ServiceAnswer{}, classifier.Wrap(classifier.OutcomeUnknown, err, "the outcome of the call is unknown")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(http.MaxBytesReader(nil, response.Body, maxServiceAnswerBytes))
	if err != nil {
		return ServiceAnswer{}, classifier.Wrap(classifier.OutcomeUnknown, err, "the answer of the call was lost")
	}
	return ServiceAnswer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}
