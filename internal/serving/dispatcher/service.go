package dispatcher

import (
	"context"
	"io"
	"net/http"

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
	choice, err := d.cfg.Chooser.ChooseService(ctx, j, 1, nil)
	if err != nil {
		return ServiceAnswer{}, err
	}
	response, err := d.cfg.Caller.Do(ctx, choice.Target, caller.Call{
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
