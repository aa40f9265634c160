package publisher

import (
	"context"
	"encoding/json"
	"errors"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/bundle/signer"
	"gentianstep.example/gentianstep/internal/platform/storer"
)

// head is what the store holds as the newest bundle.
type head struct {
	value []byte
	// version is the number that the document claims, whoever signed it: a
	// number that may be in force somewhere is not used again.
	version  uint64
	revision uint64
}

// head reads the newest bundle. Where there is none, or none that can be read,
// the highest claimed version stands in for its number.
func (p *Publisher) head(ctx context.Context) (head, error) {
	entry, err := p.store.Get(ctx, HeadKey(p.verifier.Deployment))
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return head{}, unavailable(err, "read the newest bundle")
	}
	h := head{value: entry.Value, revision: entry.Revision}
	version, ok := p.claimedVersion(entry.Value)
	if !ok {
		version, err = p.highest(ctx)
	}
	h.version = version
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return head{}, err
	}
	return h, nil
}

// claimedVersion reads the version of a signed bundle without verifying it.
func (p *Publisher) claimedVersion(value []byte) (uint64, bool) {
	e, err := signer.DecodeEnvelope(value)
	if err != nil {
		return 0, false
	}
	var claim struct {
		Deployment string `json:"deployment"`
		Version    uint64 `json:"version"`
	}
	err = json.Unmarshal(e.Document, &claim)
	valid := err == nil && claim.Deployment == p.verifier.Deployment && claim.Version <= checker.MaxVersion
	return claim.Version, valid && claim.Version > 0
}

// Head returns the newest bundle that is signed off, with its version. Version
// 0 means that none is published.
func (p *Publisher) Head(ctx context.Context) (signer.Envelope, uint64, error) {
	entry, err := p.store.Get(ctx, HeadKey(p.verifier.Deployment))
	if errors.Is(err, storer.ErrNotFound) {
		return signer.Envelope{}, 0, nil
	}
	if err != nil {
		return signer.Envelope{}, 0, unavailable(err, "read the newest bundle")
	}
	return p.verified(entry)
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
