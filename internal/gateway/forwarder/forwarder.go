// Package forwarder proxies the requests of a platform's clients: it resolves
// route and organisation, sends the request to an upstream, retries where that
// is safe, and relays the response.
package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/gateway/rationer"
	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/operating/reserver"
	"gentianstep.example/gentianstep/internal/peering/coordinator"
	"gentianstep.example/gentianstep/internal/routing/budgeter"
	"gentianstep.example/gentianstep/internal/routing/gauger"
	"gentianstep.example/gentianstep/internal/routing/matcher"
	"gentianstep.example/gentianstep/internal/routing/picker"
	"gentianstep.example/gentianstep/internal/routing/throttler"
	"gentianstep.example/gentianstep/internal/upstream/caller"
	"gentianstep.example/gentianstep/internal/upstream/isolator"
	"gentianstep.example/gentianstep/internal/upstream/noticer"
)

// startupRetryAfter is the mean Retry-After of a VM that has no configuration
// yet. One arrives within a few hundred milliseconds of the start.
const startupRetryAfter = 400 * time.Millisecond

// Directory provides the configuration, the upstreams and the versions of the
// weights that are currently in force in the deployment.
type Directory interface {
	Matcher() *matcher.Matcher
	Usable(service string) []*registrar.Upstream
	DesiredWeightsHistory(model string) []informer.Weights
}

// Config holds the dependencies and settings of a Forwarder.
type Config struct {
	Dialect   Dialect
	Directory Directory
	// View holds the loads, weights and cached parts that the hub has
	// published.
	View   *coordinator.View
	Caller *caller.Caller
	// Noticer holds what upstreams have stated about themselves.
	Noticer *noticer.Noticer
	// Rationer keeps requests within the quotas of organisations.
	Rationer *rationer.Rationer
	// Isolator decides which requests are not sent since upstreams crash under them.
	Isolator *isolator.Isolator
	Picker   picker.Config
	Budget   budgeter.Config
	// WeightsApply is the longest time for which older weights may be used once
	// a newer version is wanted.
	WeightsApply time.Duration
	// Memory is the budget of the bytes that are held for clients; nil sets no limit.
	Memory *reserver.Reserver
	Meter  *meter.Meter
	Log    *logrus.Entry
}

// Forwarder is an http.Handler that sends client requests to upstreams.
type Forwarder struct {
	cfg Config
	vms atomic.Int64
	// weightsApply is Config.WeightsApply in nanoseconds; SetBounds changes it.
	weightsApply atomic.Int64
	// shutdown is nil before the VM stops.
	shutdown atomic.Pointer[Shutdown]
	// ended is cancelled with errShutdown when each open request gets its final response.
	ended context.Context //nolint:containedctx // It ends with the Forwarder.
	end   context.CancelCauseFunc

	// mu guards picker, budget, queues, overload, returns, speeds and linkProvenAt.
	mu     sync.Mutex
	picker *picker.Picker
	budget *budgeter.Budgeter
	queues map[string]*waitQueue
	// overload derives the Retry-After of refused long prompts.
	overload overloadTracker
	// returns holds the times at which refused clients of each service come back, if it has limits.
	returns map[string]*throttler.Returns
	// speeds are the samples of the speeds of engines.
	speeds speedSamples
	// linkProvenAt is when the latest attempt that was answered was sent.
	linkProvenAt time.Time
	// urgentReports has a buffer of one, so that sending never blocks a
	// request.
	urgentReports chan struct{}
	// waitingCheck has a buffer of one as well; see CheckWaiting.
	waitingCheck chan struct{}
	waiting      waitingSet
}

// New returns a Forwarder with the limits of a single VM; see SetVMs.
func New(cfg Config) *Forwarder {
	f := &Forwarder{
		cfg:           cfg,
		picker:        picker.New(cfg.Picker),
		budget:        budgeter.New(cfg.Budget),
		queues:        make(map[string]*waitQueue),
		returns:       make(map[string]*throttler.Returns),
		speeds:        speedSamples{own: gauger.New()},
		urgentReports: make(chan struct{}, 1),
		waitingCheck:  make(chan struct{}, 1),
	}
	f.ended, f.end = context.WithCancelCause(context.Background())
	cfg.Noticer.SetOnChange(f.wakeWaiting)
	cfg.Isolator.SetHandlers(func() { f.wakeWaiting("") }, f.RequestUrgentReport)
	f.vms.Store(1)
	f.weightsApply.Store(int64(cfg.WeightsApply))
	return f
}

// SetVMs sets the number of VMs that share concurrency limits and retry budget.
func (f *Forwarder) SetVMs(n int) {
	f.vms.Store(int64(max(n, 1)))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget.SetVMs(n)
}

// SetBounds replaces the retry budget and the time for applying new weights.
func (f *Forwarder) SetBounds(budget budgeter.Config, weightsApply time.Duration) {
	f.weightsApply.Store(int64(weightsApply))
	f.CheckWaiting()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget.SetConfig(budget)
}

// Loads returns the load that this VM puts on each upstream.
func (f *Forwarder) Loads() map[string]coordinator.Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	loads := make(map[string]coordinator.Load)
	for id, load := range f.picker.Loads() {
		loads[id] = coordinator.Load{
			InFlight:      load.InFlight,
			PromptTokens:  max(load.PromptTokens, 0),
			CopyingMillis: int(max(load.Copying, 0).Milliseconds()),
		}
	}
	return loads
}

// UrgentReports signals that the loads should be reported to the hub at once
// rather than with the next periodic report.
func (f *Forwarder) UrgentReports() <-chan struct{} { return f.urgentReports }

// DrainSentParts returns and clears the shared prompt parts that were sent to
// upstreams since the last call.
func (f *Forwarder) DrainSentParts() []coordinator.CachedPart {
	f.mu.Lock()
	defer f.mu.Unlock()
	parts := f.picker.DrainSentParts()
	sent := make([]coordinator.CachedPart, 0, len(parts))
	for _, s := range parts {
		sent = append(sent, coordinator.CachedPart{Upstream: s.Upstream, Scope: s.Part.Scope, ID: s.Part.ID, Tokens: s.Tokens})
	}
	return sent
}

// IsVersionedScope reports whether a cache scope names a version of the
// weights. Only the cached parts of such scopes are looked up.
func IsVersionedScope(scope string) bool { return strings.Contains(scope, scopeVersionSeparator) }

// ServeHTTP decodes, admits and forwards one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	request, err := f.cfg.Dialect.Decode(now, r)
	x := &exchange{Forwarder: f, response: newResponse(w, r), r: r, request: &request, arrivedAt: now}
	x.serve(err)
	x.response.end()
}

// serve answers the request, whose head was decoded with err.
func (x *exchange) serve(err error) {
	// Prevents request smuggling: an intermediary may parse a chunked body
	// differently, so the connection is not reused after it.
	if x.shutdown.Load() != nil || len(x.r.TransferEncoding) > 0 {
		x.response.closeAfter()
	}
	if err != nil {
		x.writeError(classifier.Wrap(classifier.InvalidRequest, err, "the request's head is not valid"))
		return
	}
	defer func() { x.charge.Release(x.mayHaveRun) }()
	defer x.releaseBody()
	if err := x.admit(); err != nil {
		x.writeError(err)
		return
	}
	x.run()
}

// admit resolves the route and the organisation, sets the deadline and reads
// the body.
func (x *exchange) admit() *classifier.Error {
	m := x.cfg.Directory.Matcher()
	if m == nil {
		err := classifier.New(classifier.NoBundle, "no configuration is known yet")
		err.RetryAt = x.arrivedAt.Add(startupRetryAfter/2 + rand.N(startupRetryAfter))
		return err
	}
	x.configuration = m.Configuration()
	route, ok := m.FindRoute(x.request.Host, x.request.Path)
	if !ok {
		return classifier.New(classifier.NotFound, "no route")
	}
	x.route = route
	if m.RequiresKey(route) {
		organisation, ok := m.FindOrganisation(x.request.APIKey)
		if !ok {
			return classifier.New(classifier.Unauthenticated, "unknown key")
		}
		x.organisation = organisation
	}
	x.deadline = x.arrivedAt.Add(route.Timeout)
	if d := x.request.Deadline; !d.IsZero() && d.Before(x.deadline) {
		x.deadline = d
	}
	if err := caller.CheckTarget(x.request.Target); err != nil {
		return classifier.Wrap(classifier.InvalidRequest, err, "the path cannot be forwarded")
	}
	x.service = route.SelectService(rand.Float64())
	if err := x.checkShutdown(time.Now()); err != nil {
		return err
	}
	if err := x.chargeQuota(); err != nil {
		return err
	}
	if err := x.readBody(); err != nil {
		return err
	}
	x.setFingerprints()
	return nil
}

// writeError responds with an error of the gateway itself.
func (x *exchange) writeError(err *classifier.Error) {
	answer := classifier.AnswerOf(err.Kind)
	wait := time.Duration(0)
	if answer.Retryable && answer.NotRun && !err.Final {
		wait = answer.RetryAfter
		if !err.RetryAt.IsZero() {
			wait = max(time.Until(err.RetryAt), time.Millisecond)
		}
	}
	text := string(err.Kind) + ": " + err.Detail + "\n"
	sendErr := x.response.sendWhole(answer.Status, []byte(text), false, func(h http.Header) {
		x.cfg.Dialect.SetErrorHeader(h, x.request.ID, wait)
		h.Set("Content-Type", "text/plain; charset=utf-8")
	})
	x.recordOutcome(answer.Status, string(err.Kind), errors.Join(err, sendErr))
}
