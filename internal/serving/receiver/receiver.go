// Package receiver takes the requests of callers over HTTP.
package receiver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/bundle/holder"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/routing/admitter"
	"gentianstep.example/gentianstep/internal/serving/dispatcher"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
)

// maxBodyBytes bounds the body of one request.
const maxBodyBytes = 8 << 20

// Gate lets completion requests wait for a slot of the router.
type Gate interface {
	// Enter waits until r may run; release gives its slot back.
	Enter(ctx context.Context, r admitter.Request) (release func(), err error)
}

// Limits refuses requests of organisations that are over their rate.
type Limits interface {
	Allow(organisation string) error
}

// Config holds what a Receiver is built from.
type Config struct {
	Holder     *holder.Holder
	Dispatcher *dispatcher.Dispatcher
	// Gate is passed before an upstream is chosen; nil lets everything pass.
	Gate Gate
	// Limits is asked once the organisation is known; nil lets everything pass.
	Limits Limits
	Log    *logrus.Entry
}

// Receiver is the HTTP side of a router towards its callers.
type Receiver struct {
	cfg Config
}

// New returns a Receiver.
func New(cfg Config) *Receiver {
	return &Receiver{cfg: cfg}
}

// Handler returns the built application.
func (r *Receiver) Handler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Post("/v1/completions", r.complete)
	app.Post("/v1/chat/completions", r.complete)
	app.Any("/v1/services/{service}/{path:path}", r.call)
	app.OnErrorCode(iris.StatusNotFound, r.notFound)
	if err := app.Build(); err != nil {
		return nil, fmt.Errorf("caller routes: %w", err)
	}
	return app, nil
}

// admission is what is known of a request once its caller is known.
type admission struct {
	id           string
	bundle       *checker.Bundle
	organisation checker.Organisation
}

func (r *Receiver) notFound(ctx iris.Context) {
	r.fail(ctx, uuid.NewString(), classifier.New(classifier.NotFound, "no such path"))
}

// admit names the request and finds the organisation of its caller.
func (r *Receiver) admit(ctx iris.Context) (admission, error) {
	a := admission{id: uuid.NewString()}
	ctx.Header(encoder.HeaderRequestID, a.id)
	current := r.cfg.Holder.Current()
	if current == nil {
		return a, classifier.New(classifier.NoBundle, "no bundle is in force yet")
	}
	a.bundle = current.Bundle
	key, ok := strings.CutPrefix(ctx.GetHeader("Authorization"), "Bearer ")
	if !ok {
		return a, classifier.New(classifier.Unauthenticated, "takes a bearer key in Authorization")
	}
	organisation, ok := a.bundle.OrganisationOfKey(key)
	if !ok {
		return a, classifier.New(classifier.Unauthenticated, "the key is not known")
	}
	a.organisation = organisation
	if r.cfg.Limits != nil {
		return a, r.cfg.Limits.Allow(organisation.Name)
	}
	return a, nil
}

func readBody(ctx iris.Context) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, classifier.Wrap(classifier.TooLarge, err, "the body is over %d bytes", maxBodyBytes)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, classifier.Wrap(classifier.CallerTooSlow, err, "the body did not arrive in time")
	}
	return nil, classifier.Wrap(classifier.CallerGone, err, "the body did not arrive")
}
