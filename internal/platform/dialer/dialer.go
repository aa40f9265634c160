// Package dialer is an HTTP client of the platform's key-value service and VM
// list.
package dialer

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"gentianstep.example/gentianstep/internal/platform/requester"
	"gentianstep.example/gentianstep/internal/platform/storer"
)

// Config configures a Dialer.
type Config struct {
	Address netip.AddrPort
	// Client must not be shared with other services, as all its idle connections
	// are closed when a call fails or times out.
	Client *http.Client
}

// Dialer is an HTTP client of the platform. It implements storer.Store and
// storer.VMLister.
type Dialer struct {
	requester *requester.Requester
}

var (
	_ storer.Store    = (*Dialer)(nil)
	_ storer.VMLister = (*Dialer)(nil)
)

// New returns a Dialer.
func New(cfg Config) *Dialer {
	return &Dialer{requester: requester.New(requester.Config{
		Base:        "http://" + cfg.Address.String(),
		Client:      cfg.Client,
		StatusError: statusError,
	})}
}

// Get implements storer.Store.
func (d *Dialer) Get(ctx context.Context, key string) (storer.Entry, error) {
	var entry storer.Entry
	err := d.requester.Call(ctx, http.MethodGet, storer.PathKeys+url.PathEscape(key), nil, &entry)
	return entry, err
}

// Put implements storer.Store.
func (d *Dialer) Put(ctx context.Context, key string, value []byte, opts storer.PutOptions) (storer.Version, error) {
	if len(value) > storer.MaxValueBytes {
		return storer.Version{}, storer.ErrTooLarge
	}
	body := storer.PutRequest{Value: value, IfRevision: opts.IfVersion.Revision, LeaseID: opts.LeaseID}
	var response storer.PutResponse
	err := d.requester.Call(ctx, http.MethodPut, storer.PathKeys+url.PathEscape(key), body, &response)
	return storer.Version{Revision: response.Revision}, err
}

// Delete implements storer.Store.
func (d *Dialer) Delete(ctx context.Context, key string, ifVersion storer.Version) error {
	path := storer.PathKeys + url.PathEscape(key) + "?if_revision=" + strconv.FormatUint(ifVersion.Revision, 10)
	return d.requester.Call(ctx, http.MethodDelete, path, nil, nil)
}

// List implements storer.Store.
func (d *Dialer) List(ctx context.Context, prefix string) ([]storer.Entry, error) {
	var entries []storer.Entry
	err := d.requester.Call(ctx, http.MethodGet, storer.PathList+url.PathEscape(prefix), nil, &entries)
	return entries, err
}

// Watch implements storer.Store.
func (d *Dialer) Watch(ctx context.Context, key string, after storer.Version) (storer.Entry, error) {
	path := storer.PathWatch + url.PathEscape(key) + "?after=" + strconv.FormatUint(after.Revision, 10)
	var entry storer.Entry
	err := d.requester.Call(ctx, http.MethodGet, path, nil, &entry)
	return entry, err
}

// Grant implements storer.Store.
func (d *Dialer) Grant(ctx context.Context, ttl time.Duration) (storer.Lease, error) {
	var lease storer.Lease
	err := d.requester.Call(ctx, http.MethodPost, storer.PathLeases, storer.GrantRequest{TTLMillis: ttl.Milliseconds()}, &lease)
	return lease, err
}

// Renew implements storer.Store.
func (d *Dialer) Renew(ctx context.Context, lease storer.Lease) (storer.Lease, error) {
	var renewed storer.Lease
	err := d.requester.Call(ctx, http.MethodPut, storer.PathLeases+"/"+strconv.FormatUint(lease.ID, 10), nil, &renewed)
	return renewed, err
}

// Revoke implements storer.Store.
func (d *Dialer) Revoke(ctx context.Context, lease storer.Lease) error {
	return d.requester.Call(ctx, http.MethodDelete, storer.PathLeases+"/"+strconv.FormatUint(lease.ID, 10), nil, nil)
}

// VMs implements storer.VMLister.
func (d *Dialer) VMs(ctx context.Context) ([]storer.VM, error) {
	var vms []storer.VM
	err := d.requester.Call(ctx, http.MethodGet, storer.PathVMs, nil, &vms)
	return vms, err
}

// statusError returns the error that an HTTP status of the platform stands for.
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
	return fmt.Errorf("unexpected status %d from the platform", status)
}
