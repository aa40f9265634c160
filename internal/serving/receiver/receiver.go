// Package receiver is the HTTP API that a router offers to callers: completions
// and calls of plain services.
package receiver

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/bundle/holder"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/operating/reserver"
	"gentianstep.example/gentianstep/internal/routing/admitter"
	"gentianstep.example/gentianstep/internal/serving/dispatcher"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
)

// AdmissionQueue limits the completion requests that run at the same time.
type AdmissionQueue interface {
	// AcquireSlot waits until r is admitted; release frees its slot.
	AcquireSlot(ctx context.Context, r admitter.Request) (release func(), err error)
}

// RateLimiter rejects requests of organisations that exceed their request rate.
type RateLimiter interface {
	Allow(organisation string) error
}

// Config configures a Receiver.
type Config struct {
	Holder     *holder.Holder
	Dispatcher *dispatcher.Dispatcher
	// AdmissionQueue admits completion requests before an upstream is chosen;
	// nil admits all at once.
	AdmissionQueue AdmissionQueue
	// RateLimiter is applied once the organisation is identified; nil sets no
	// limit.
	RateLimiter RateLimiter
	// Memory is the budget of the bytes that are held for callers; nil sets no limit.
	Memory *reserver.Reserver
	Log    *logrus.Entry
}

// Receiver serves the HTTP requests of callers.
type Receiver struct {
	cfg Config
}

// New returns a Receiver with the given configuration.
func New(cfg Config) *Receiver {
	return &Receiver{cfg: cfg}
}

// Handler returns the HTTP handler with all routes for callers.
func (r *Receiver) Handler() (http.Handler, error) {
	app := iris.New()
	app.Configure(iris.WithoutAutoFireStatusCode) // it adds bodies to responses of services
	app.Logger().SetLevel("disable")
	app.UseRouter(r.serveNotFound)
	app.Post("/v1/completions", r.serveCompletion)
	app.Post("/v1/chat/completions", r.serveCompletion)
	app.Any("/v1/services/{service}/{path:path}", r.serveServiceCall)
	if err := app.Build(); err != nil {
		return nil, fmt.Errorf("build HTTP routes for callers: %w", err)
	}
	return app, nil
}

// requestInfo identifies a request and its organisation. After a failed
// authentication only the ID is certain to be set.
type requestInfo struct {
	id           string
	bundle       *checker.Bundle
	organisation checker.Organisation
}

// serveNotFound writes the response to a request that has no route.
func (r *Receiver) serveNotFound(ctx iris.Context) {
	ctx.Next()
	p := newResponse(ctx, uuid.NewString())
	if !p.hasBegun() && ctx.GetStatusCode() == http.StatusNotFound {
		r.fail(p, classifier.New(classifier.NotFound, "no such path"))
	}
}

// authenticate assigns a request ID, finds the organisation by the API key of the
// request and applies its rate limit. The ID is set also when it returns an error.
func (r *Receiver) authenticate(ctx iris.Context) (requestInfo, error) {
	info := requestInfo{id: uuid.NewString()}
	ctx.Header(encoder.HeaderRequestID, info.id)
	current := r.cfg.Holder.Current()
	if current == nil {
		return info, classifier.New(classifier.NoBundle, "no bundle is in force yet")
	}
	info.bundle = current.Bundle
	key, ok := strings.CutPrefix(ctx.GetHeader("Authorization"), "Bearer ")
	if !ok {
		return info, classifier.New(classifier.Unauthenticated, "takes a bearer key in Authorization")
	}
	organisation, ok := info.bundle.OrganisationOfKey(key)
	if !ok {
		return info, classifier.New(classifier.Unauthenticated, "the key is not known")
	}
	info.organisation = organisation
	if r.cfg.RateLimiter != nil {
		return info, r.cfg.RateLimiter.Allow(organisation.Name)
	}
	return info, nil
}
