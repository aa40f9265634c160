package publisher

import (
	"context"
	"errors"

	"gentianstep.example/gentianstep/internal/bundle/signer"
	"gentianstep.example/gentianstep/internal/platform/storer"
)

// head is the newest version with the store's version of the head key, zero if the key
// does not exist.
type head struct {
	version  uint64
	storedAt storer.Version
}

// readHead reads the head. If the head is missing or malformed, it returns the
// highest claimed version instead: that version may be in force on a node, so its
// number must not be reused.
func (p *Publisher) readHead(ctx context.Context) (head, error) {
	entry, err := p.store.Get(ctx, HeadKey(p.verifier.Deployment))
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return head{}, storeUnavailable(err, "read the newest version")
	}
	h := head{storedAt: entry.Version()}
	if pointer, err := DecodePointer(entry.Value); err == nil {
		h.version = pointer.Version
		return h, nil
	}
	h.version, err = p.highestClaimed(ctx)
	return h, err
}

// Head returns the newest bundle and its version, or version 0 if no bundle is
// published.
func (p *Publisher) Head(ctx context.Context) (signer.Envelope, uint64, error) {
	h, err := p.readHead(ctx)
	if err != nil || h.version == 0 {
		return signer.Envelope{}, 0, err
	}
	r, err := p.GetVersion(ctx, h.version)
	if err != nil {
		return signer.Envelope{}, 0, err
	}
	return r.Envelope, r.Version, r.Err
}

// decode parses and verifies the bundle in entry and returns it with its version.
func (p *Publisher) decode(entry storer.Entry) (signer.Envelope, uint64, error) {
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
