package publisher

import (
	"context"
	"errors"

	"gentianstep.example/gentianstep/internal/bundle/signer"
	"gentianstep.example/gentianstep/internal/platform/storer"
)

// head is what the store holds as the newest version.
type head struct {
	version  uint64
	revision uint64
}

// head reads the newest version. Where there is none, or none that can be
// read, the highest claimed version stands in for it: a number that may be in
// force somewhere is not used again.
func (p *Publisher) head(ctx context.Context) (head, error) {
	entry, err := p.store.Get(ctx, HeadKey(p.verifier.Deployment))
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return head{}, unavailable(err, "read the newest version")
	}
	h := head{revision: entry.Revision}
	if pointer, err := DecodePointer(entry.Value); err == nil {
		h.version = pointer.Version
		return h, nil
	}
	h.version, err = p.highest(ctx)
	return h, err
}

// Head returns the newest bundle with its version. Version 0 means that none
// is published.
func (p *Publisher) Head(ctx context.Context) (signer.Envelope, uint64, error) {
	h, err := p.head(ctx)
	if err != nil || h.version == 0 {
		return signer.Envelope{}, 0, err
	}
	r, err := p.Get(ctx, h.version)
	if err != nil {
		return signer.Envelope{}, 0, err
	}
	return r.Envelope, r.Version, r.Err
}

func (p *Publisher) verified(entry storer.Entry) (signer.Envelope, uint64, error) {
	e, err := signer.DecodeEnvelope(entry.Value)
	if err != nil {
		return signer.Envelope{}, 0, err
	}
	b, err := p.verifier.Verify(e)
	if err != nil {
		return signer.Envelope{}, 0, err
	}
	return e, b.Version, nil
}
