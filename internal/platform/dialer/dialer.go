// Package dialer reaches the platform's key-value service and VM list over HTTP.
package dialer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"gentianstep.example/gentianstep/internal/platform/storer"
)

// maxAnswerBytes bounds the body of one answer.
const maxAnswerBytes = 16 << 20

// Config holds what a Dialer is built from.
type Config struct {
	Address netip.AddrPort
	// Client is used for the platform alone: its idle connections are closed
	// after a timeout.
	Client *http.Client
}

// Dialer is a client of the platform. It implements storer.Store and
// storer.VMLister.
type Dialer struct {
	base   string
	client *http.Client
}

var (
	_ storer.Store    = (*Dialer)(nil)
	_ storer.VMLister = (*Dialer)(nil)
)

// New returns a Dialer.
func New(cfg Config) *Dialer {
	return &Dialer{base: "http://" + cfg.Address.String(), client: cfg.Client}
}

// Get implements storer.Store.
func (d *Dialer) Get(ctx context.Context, key string) (storer.Entry, error) {
	var entry storer.Entry
	err := d.call(ctx, http.MethodGet, storer.PathKeys+url.PathEscape(key), nil, &entry)
	return entry, err
}

// Put implements storer.Store.
func (d *Dialer) Put(ctx context.Context, key string, value []byte, opts storer.PutOptions) (uint64, error) {
	if len(value) > storer.MaxValueBytes {
		return 0, storer.ErrTooLarge
	}
	body := storer.PutRequest{Value: value, IfRevision: opts.IfRevision, LeaseID: opts.LeaseID}
	var answer storer.PutAnswer
	err := d.call(ctx, http.MethodPut, storer.PathKeys+url.PathEscape(key), body, &answer)
	return answer.Revision, err
}

// Delete implements storer.Store.
func (d *Dialer) Delete(ctx context.Context, key string, ifRevision uint64) error {
	path := storer.PathKeys + url.PathEscape(key) + "?if_revision=" + strconv.FormatUint(ifRevision, 10)
	return d.call(ctx, http.MethodDelete, path, nil, nil)
}

// List implements storer.Store.
func (d *Dialer) List(ctx context.Context, prefix string) ([]storer.Entry, error) {
	var entries []storer.Entry
	err := d.call(ctx, http.MethodGet, storer.PathList+url.PathEscape(prefix), nil, &entries)
	return entries, err
}

// Watch implements storer.Store.
func (d *Dialer) Watch(ctx context.Context, key string, after uint64) (storer.Entry, error) {
	path := storer.PathWatch + url.PathEscape(key) + "?after=" + strconv.FormatUint(after, 10)
	var entry storer.Entry
	err := d.call(ctx, http.MethodGet, path, nil, &entry)
	return entry, err
}

// Grant implements storer.Store.
func (d *Dialer) Grant(ctx context.Context, ttl time.Duration) (storer.Lease, error) {
	var lease storer.Lease
	err := d.call(ctx, http.MethodPost, storer.PathLeases, storer.GrantRequest{TTLMillis: ttl.Milliseconds()}, &lease)
	return lease, err
}

// Renew implements storer.Store.
func (d *Dialer) Renew(ctx context.Context, id uint64) (storer.Lease, error) {
	var lease storer.Lease
	err := d.call(ctx, http.MethodPut, storer.PathLeases+"/"+strconv.FormatUint(id, 10), nil, &lease)
	return lease, err
}

// Revoke implements storer.Store.
func (d *Dialer) Revoke(ctx context.Context, id uint64) error {
	return d.call(ctx, http.MethodDelete, storer.PathLeases+"/"+strconv.FormatUint(id, 10), nil, nil)
}

// VMs implements storer.VMLister.
func (d *Dialer) VMs(ctx context.Context) ([]storer.VM, error) {
	var vms []storer.VM
	err := d.call(ctx, http.MethodGet, storer.PathVMs, nil, &vms)
	return vms, err
}

func (d *Dialer) call(ctx context.Context, method, path string, body, answer any) error {
	request, err := d.request(ctx, method, path, body)
	if err != nil {
		return err
	}
	response, err := d.client.Do(request)
	if errors.Is(err, context.DeadlineExceeded) {
		// The connection may have gone silent; the idle ones are suspect too.
		d.client.CloseIdleConnections()
	}
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	defer func() {
		drain(response.Body)
		_ = response.Body.Close()
	}()
	if err := statusError(response.StatusCode); err != nil {
		return err
	}
	if answer == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(answer); err != nil {
		return fmt.Errorf("platform answer: %w", err)
	}
	return nil
}

// drain reads what is left of an answer, so that its connection is used again.
func drain(body io.Reader) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxAnswerBytes))
}

// request builds a request whose body the transport cannot send a second time.
func (d *Dialer) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("platform request: %w", err)
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, d.base+path, reader)
	if err != nil {
		return nil, fmt.Errorf("platform request: %w", err)
	}
	request.GetBody = nil
	return request, nil
}

func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return storer.ErrNotFound
	case http.StatusConflict:
		return storer.ErrConflict
	case http.StatusGone:
		return storer.ErrLeaseGone
	case http.StatusNotModified:
		return storer.ErrNotChanged
	case http.StatusRequestEntityTooLarge:
		return storer.ErrTooLarge
	case http.StatusTooManyRequests:
		return storer.ErrRateLimited
	}
	return fmt.Errorf("platform: status %d", status)
}
