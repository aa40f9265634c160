// Package caller sends requests to upstreams, at most once per call.
package caller

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"syscall"
	"time"

	"gentianstep.example/gentianstep/internal/streaming/encoder"
	"gentianstep.example/gentianstep/internal/upstream/screener"
)

// connectTimeout bounds the time to open a connection.
const connectTimeout = 2 * time.Second

// Config configures a Caller.
type Config struct {
	// Dial opens connections; nil means TCP.
	Dial DialFunc
	// IdleTimeout is how long an idle connection is kept; 0 means 30 s.
	IdleTimeout time.Duration
	// Notices, if set, admits the calls of the project's protocol and gets the
	// heads of their responses.
	Notices Notices
	// OnBroken, if set, is called for each response that is broken.
	OnBroken func(reason BrokenReason)
}

// Caller sends requests to upstreams over pooled connections.
type Caller struct {
	pool     *pool
	notices  Notices
	onBroken func(reason BrokenReason)
	// cancelSlots limits the number of concurrent cancellations.
	cancelSlots chan struct{}
}

// New returns a Caller. It does not follow redirects.
func New(cfg Config) *Caller {
	dial := cfg.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: connectTimeout}).DialContext
	}
	return &Caller{
		pool:        newPool(dial, cmp.Or(cfg.IdleTimeout, idleConnectionTimeout)),
		notices:     cfg.Notices,
		onBroken:    cfg.OnBroken,
		cancelSlots: make(chan struct{}, maxCancels),
	}
}

// Close closes the idle connections.
func (c *Caller) Close() { c.pool.close() }

// CloseIdle closes the idle connections to target. Once one connection has timed
// out, the others may be broken as well.
func (c *Caller) CloseIdle(target Target) { c.pool.closeIdle(target.Address) }

// IsRefused reports whether nothing listens at an address.
func (c *Caller) IsRefused(ctx context.Context, address netip.AddrPort) bool {
	conn, err := c.pool.dial(ctx, "tcp", address.String())
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// DisableRedirects is an http.Client.CheckRedirect. A redirect becomes the response.
func DisableRedirects(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Do sends call to target once and returns when the response header has arrived.
// A returned error is always a *Failure.
func (c *Caller) Do(ctx context.Context, target Target, call Call) (*Response, error) {
	heeds, sentAt := c.notices != nil && call.Head == nil, time.Now()
	if heeds {
		call.Admit = func() error { return c.notices.Admit(target, call) }
	}
	ctx, cancel := context.WithCancelCause(ctx)
	e := &exchange{ctx: ctx, admit: admission(call.Admit, cancel)}
	requestCtx, stopCancel := e.requestContext()
	requestBody := bytes.NewReader(call.Body)
	request, err := newRequest(httptrace.WithClientTrace(requestCtx, e.trace()), target, call, requestBody)
	if err != nil {
		stopCancel()
		cancel(nil)
		return nil, &Failure{Upstream: target.Name, NotRun: true, Err: err}
	}
	if call.Head != nil && call.Head.Refresh != nil {
		e.onConnection = func() { call.Head.Refresh(request.Header) }
	}
	client := &http.Client{
		Transport:     c.pool.transport(target.Address, call.NewConnection),
		CheckRedirect: DisableRedirects,
	}
	watchdog := newWatchdog(call.FirstByteDeadline, cancel)
	// A reused connection may be broken, so the wait for it is shorter.
	e.onReuse = func() { watchdog.setDeadline(earlier(call.FirstByteDeadline, time.Now().Add(call.IdleTimeout))) }
	httpResponse, err := client.Do(request) //nolint:bodyclose // Response closes it.
	watchdog.stop()
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		if reason := brokenReason(err); reason != BrokenReset { // nothing of a response may have arrived
			c.countBroken(reason)
		}
		sent := e.abort()
		stopCancel()
		cancel(nil)
		return nil, &Failure{Upstream: target.Name, Sent: sent, NotRun: !sent, Reused: e.wasReused(), Err: err}
	}
	screener.CheckTrailer(httpResponse)
	response := &Response{
		Status:            httpResponse.StatusCode,
		Header:            httpResponse.Header,
		Reused:            e.wasReused(),
		Framed:            httpResponse.ContentLength >= 0 || len(httpResponse.TransferEncoding) > 0 || call.Method == http.MethodHead,
		countBroken:       c.countBroken,
		ctx:               ctx,
		cancel:            cancel,
		stopCancel:        stopCancel,
		body:              httpResponse.Body,
		requestBody:       requestBody,
		exchange:          e,
		watchdog:          watchdog,
		firstByteDeadline: call.FirstByteDeadline,
		idleTimeout:       call.IdleTimeout,
	}
	err = checkResponse(httpResponse, call, response.Reused)
	if heeds {
		c.notices.Record(target, sentAt, httpResponse.StatusCode, httpResponse.Header, err == nil)
	}
	if err != nil {
		response.Discard()
		c.CloseIdle(target) // the transport may have taken the connection back
		return nil, &Failure{Upstream: target.Name, Sent: true, Reused: response.Reused, Err: err}
	}
	if !response.Framed {
		response.probe = c.newProbe(target.Address)
	}
	return response, nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// CheckEcho checks the request ID that a response echoes. One without an ID belongs to the
// request unless required is true. It has to be on a reused connection, where an upstream
// may send the response to an earlier request once more.
func CheckEcho(echoed, id string, required bool) error {
	if echoed == id || echoed == "" && !required {
		return nil
	}
	return fmt.Errorf("check request ID %q of response: %w", echoed, ErrResponseMismatch)
}

// checkResponse checks that the response belongs to the request and the attempt
// of call.
func checkResponse(response *http.Response, call Call, reused bool) error {
	header := response.Header
	if response.StatusCode == http.StatusSwitchingProtocols {
		return errProtocolSwitch
	}
	if call.Head != nil {
		return call.Head.CheckResponse(response.StatusCode, header, reused)
	}
	required := call.RequireEcho && response.StatusCode == http.StatusOK || reused && call.RequestID != ""
	if err := CheckEcho(header.Get(encoder.HeaderRequestID), call.RequestID, required); err != nil {
		return err
	}
	attempt := header.Get(encoder.HeaderAttempt)
	if attempt != strconv.Itoa(call.Attempt) && (attempt != "" || required) {
		return fmt.Errorf("check attempt %q of response: %w", attempt, ErrResponseMismatch)
	}
	return nil
}

// newRequest builds a request without GetBody, so that the transport cannot send
// the body twice.
func newRequest(ctx context.Context, target Target, call Call, requestBody *bytes.Reader) (*http.Request, error) {
	if !target.Address.IsValid() {
		return nil, errors.New("upstream has no address")
	}
	body := io.NopCloser(requestBody)
	url := "http://" + target.Address.String()
	if call.Head == nil {
		url += call.Path
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, url, body)
	if err != nil {
		return nil, fmt.Errorf("build upstream request: %w", err)
	}
	request.ContentLength = int64(len(call.Body))
	request.GetBody = nil
	if call.Head != nil {
		if err := setTarget(request.URL, call.Path); err != nil {
			return nil, fmt.Errorf("build upstream request: %w", err)
		}
		request.Host = call.Head.Host
		request.Header = call.Head.Header
		return request, nil
	}
	headers := []struct{ name, value string }{
		{encoder.HeaderRequestID, call.RequestID},
		{encoder.HeaderAttempt, strconv.Itoa(call.Attempt)},
		{encoder.HeaderOrganisation, call.Organisation},
		{encoder.HeaderWeightsVersion, call.WeightsVersion},
		{encoder.HeaderPriority, call.Priority},
		{encoder.HeaderIdempotencyKey, call.IdempotencyKey},
		{"Content-Type", call.ContentType},
		{encoder.HeaderImportBlocks, importBlocksHeader(call)},
		{encoder.HeaderExport, exportHeader(call)},
	}
	for _, h := range headers {
		if h.value != "" {
			request.Header.Set(h.name, h.value)
		}
	}
	return request, nil
}
