package noticer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// Transport applies a Processes to the calls of an HTTP client to upstreams.
type Transport struct {
	Processes *Processes
	Base      http.RoundTripper
	// Probes is true if the calls ask whether an upstream is there.
	Probes bool
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	address, err := netip.ParseAddrPort(r.URL.Host)
	if err != nil {
		closeBody(r)
		return nil, fmt.Errorf("parse address of upstream: %w", err)
	}
	target := t.Processes.targetAt(address)
	if !t.mayOpen(target) {
		closeBody(r)
		return nil, ErrWithheld
	}
	request, cancel := AdmitOnConnection(r, func() error { return t.admit(target) })
	sentAt := time.Now()
	response, err := t.Base.RoundTrip(request)
	if err != nil {
		if cause := context.Cause(request.Context()); errors.Is(cause, ErrWithheld) {
			err = cause
		}
		cancel()
		return nil, err
	}
	t.Processes.Record(target, sentAt, response.StatusCode, response.Header, true)
	response.Body = &body{ReadCloser: response.Body, cancel: cancel}
	return response, nil
}

// mayOpen reports whether a connection may be opened for a call.
func (t *Transport) mayOpen(target caller.Target) bool {
	u := t.Processes.process(target)
	if t.Probes {
		return !time.Now().Before(t.Processes.cfg.Noticer.HeldUntil(u))
	}
	return t.Processes.cfg.Noticer.IsOpen(u)
}

func (t *Transport) admit(target caller.Target) error {
	u := t.Processes.process(target)
	if t.Probes {
		return t.Processes.cfg.Noticer.AdmitProbe(u)
	}
	return t.Processes.cfg.Noticer.AdmitCall(u, false)
}

func closeBody(r *http.Request) {
	if r.Body != nil {
		_ = r.Body.Close() // nothing has read it
	}
}

// body is the body of a response. Its end releases the context of the request.
type body struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
