// Package forwarder serves clients of a platform: it finds the route and the
// organisation of a request, sends it to an upstream and hands the answer back.
package forwarder

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/peering/coordinator"
	"gentianstep.example/gentianstep/internal/routing/budgeter"
	"gentianstep.example/gentianstep/internal/routing/matcher"
	"gentianstep.example/gentianstep/internal/routing/picker"
	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// startWait is the mean time after which a client should come back to a VM that
// has just started: configurations come within some hundred milliseconds.
const startWait = 400 * time.Millisecond

// Directory knows what is in force in the deployment.
type Directory interface {
	Matcher() *matcher.Matcher
	Usable(service string) []*registrar.Upstream
	WantedWeights(model string) []informer.Weights
}

// Config holds what a Forwarder is built from.
type Config struct {
	Dialect   Dialect
	Directory Directory
	// View is what the hub tells.
	View   *coordinator.View
	Caller *caller.Caller
	Picker picker.Config
	Budget budgeter.Config
	// WeightsApply is the longest time for which older weights may be used.
	WeightsApply time.Duration
	Meter        *meter.Meter
	Log          *logrus.Entry
}

// Forwarder implements http.Handler.
type Forwarder struct {
	cfg Config
	vms atomic.Int64
	// weightsApply is the longest time for which older weights may be used.
	weightsApply atomic.Int64
	stopping     atomic.Bool

	mu     sync.Mutex
	picker *picker.Picker
	budget *budgeter.Budgeter
	lines  map[string]*line
	// overload is guarded like the others.
	overload overload
	// urgent holds one place, so that no request waits for the hub.
	urgent chan struct{}
}

// New returns a Forwarder.
func New(cfg Config) *Forwarder {
	f := &Forwarder{
		cfg:    cfg,
		picker: picker.New(cfg.Picker),
		budget: budgeter.New(cfg.Budget),
		lines:  make(map[string]*line),
		urgent: make(chan struct{}, 1),
	}
	f.vms.Store(1)
	f.weightsApply.Store(int64(cfg.WeightsApply))
	return f
}

// SetVMs sets the number of VMs among which limits are shared.
func (f *Forwarder) SetVMs(n int) {
	f.vms.Store(int64(max(n, 1)))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget.SetVMs(n)
}

// SetBounds puts changed bounds into force.
func (f *Forwarder) SetBounds(budget budgeter.Config, weightsApply time.Duration) {
	f.weightsApply.Store(int64(weightsApply))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget.SetConfig(budget)
}

// Loads returns what this VM has in flight.
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

// Urgent tells of loads that the other VMs should hear of at once.
func (f *Forwarder) Urgent() <-chan struct{} { return f.urgent }

// SentParts returns the shared parts that were sent to be read since the last
// call.
func (f *Forwarder) SentParts() []coordinator.Cached {
	f.mu.Lock()
	defer f.mu.Unlock()
	parts := f.picker.SentParts()
	sent := make([]coordinator.Cached, 0, len(parts))
	for _, s := range parts {
		sent = append(sent, coordinator.Cached{Upstream: s.Upstream, Scope: s.Part.Scope, ID: s.Part.ID, Tokens: s.Tokens})
	}
	return sent
}

// HoldsParts reports whether a scope is one whose cached parts are looked up.
func HoldsParts(scope string) bool { return strings.Contains(scope, scopeVersion) }

// Stop makes clients close their connections after the next answer.
func (f *Forwarder) Stop() { f.stopping.Store(true) }

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	request, err := f.cfg.Dialect.Decode(now, r)
	x := &exchange{Forwarder: f, w: w, r: r, request: &request, arrivedAt: now}
	// A body in chunks may hide a second request from another parser on the
	// way, so that nothing else is read from its connection.
	if f.stopping.Load() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	if err != nil {
		x.refuse(classifier.Wrap(classifier.InvalidRequest, err, "the request's head is not valid"))
		return
	}
	if err := x.admit(); err != nil {
		x.refuse(err)
		return
	}
	x.run()
}

// admit finds the route and the organisation and reads the body.
func (x *exchange) admit() *classifier.Error {
	m := x.cfg.Directory.Matcher()
	if m == nil {
		err := classifier.New(classifier.NoBundle, "no configuration is known yet")
		err.RetryAt = x.arrivedAt.Add(startWait/2 + rand.N(startWait))
		return err
	}
	x.configuration = m.Configuration()
	route, ok := m.Route(x.request.Host, x.request.Path)
	if !ok {
		return classifier.New(classifier.NotFound, "no route")
	}
	x.route = route
	if m.KeysRequired(route) {
		organisation, ok := m.Organisation(x.request.Key)
		if !ok {
			return classifier.New(classifier.Unauthenticated, "unknown key")
		}
		x.organisation = organisation
	}
	x.deadline = x.arrivedAt.Add(route.Timeout)
	if d := x.request.Deadline; !d.IsZero() && d.Before(x.deadline) {
		x.deadline = d
	}
	x.service = route.Service(rand.Float64())
	return x.readBody()
}

// readBody reads the whole body, since a request may be sent more than once.
func (x *exchange) readBody() *classifier.Error {
	limit := x.configuration.Limits.BodyBytes
	if x.r.ContentLength > limit {
		return classifier.New(classifier.TooLarge, "the body is over %d bytes", limit)
	}
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return nil
	}
	control := http.NewResponseController(x.w)
	if err := control.SetReadDeadline(x.deadline); err != nil {
		return classifier.Wrap(classifier.Internal, err, "the connection takes no deadline")
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	if err != nil {
		// The deadline stays, since the server looks for the rest of the body
		// before it answers.
		x.w.Header().Set("Connection", "close")
		return bodyError(err, limit)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return classifier.Wrap(classifier.Internal, err, "the connection takes no deadline")
	}
	x.body = body
	return nil
}

// bodyError tells why a body was not read.
func bodyError(err error, limit int64) *classifier.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return classifier.New(classifier.TooLarge, "the body is over %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return classifier.Wrap(classifier.CallerTooSlow, err, "the body did not come in time")
	}
	return classifier.Wrap(classifier.InvalidRequest, err, "the body is not valid")
}

// refuse answers with a failure of the gateway's own.
func (x *exchange) refuse(err *classifier.Error) {
	answer := classifier.AnswerOf(err.Kind)
	wait := time.Duration(0)
	if answer.Retry && answer.NotRun {
		wait = answer.RetryAfter
		if !err.RetryAt.IsZero() {
			wait = max(time.Until(err.RetryAt), time.Millisecond)
		}
	}
	x.finish(answer.Status, string(err.Kind), err)
	x.cfg.Dialect.Refuse(x.w.Header(), x.request.ID, wait)
	text := string(err.Kind) + ": " + err.Detail + "\n"
	x.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	x.w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	x.w.WriteHeader(answer.Status)
	_, _ = io.WriteString(x.w, text) // the client may have gone
}
