// Package publisher writes signed bundles to the platform's store.
package publisher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"gentianstep.example/gentianstep/internal/bundle/signer"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/platform/storer"
)

// HeadKey returns the key that holds the newest bundle of a deployment.
func HeadKey(deployment string) string {
	return "gentianstep/" + deployment + "/bundle/head"
}

// Config holds what a Publisher is built from.
type Config struct {
	Store    storer.Store
	Verifier signer.Verifier
}

// Publisher replaces the head by compare-and-swap.
type Publisher struct {
	store    storer.Store
	verifier signer.Verifier
}

// New returns a Publisher.
func New(cfg Config) *Publisher {
	return &Publisher{store: cfg.Store, verifier: cfg.Verifier}
}

// Head returns the newest bundle with its revision, which is 0 before the
// first publish.
func (p *Publisher) Head(ctx context.Context) (signer.Envelope, uint64, error) {
	entry, err := p.store.Get(ctx, HeadKey(p.verifier.Deployment))
	if errors.Is(err, storer.ErrNotFound) {
		return signer.Envelope{}, 0, nil
	}
	if err != nil {
		return signer.Envelope{}, 0, classifier.Wrap(classifier.StoreUnavailable, err, "read the newest bundle")
	}
	e, err := signer.DecodeEnvelope(entry.Value)
	return e, entry.Revision, err
}

// Publish makes e the newest bundle if its version is the next one.
func (p *Publisher) Publish(ctx context.Context, e signer.Envelope) error {
	b, err := p.verifier.Verify(e)
	if err != nil {
		return err
	}
	head, revision, err := p.Head(ctx)
	if err != nil {
		return err
	}
	current, err := p.version(head, revision)
	if err != nil {
		return err
	}
	if b.Version != current+1 {
		return classifier.New(classifier.BundleConflict, "got version %d, version %d is published", b.Version, current)
	}
	value, err := json.Marshal(e)
	if err != nil {
		return fmt.Errorf("encode envelope: %w", err)
	}
	_, err = p.store.Put(ctx, HeadKey(b.Deployment), value, storer.PutOptions{IfRevision: revision})
	if errors.Is(err, storer.ErrConflict) {
		return classifier.Wrap(classifier.BundleConflict, err, "another operator published first")
	}
	if err != nil {
		return classifier.Wrap(classifier.StoreUnavailable, err, "publish version %d", b.Version)
	}
	return nil
}

func (p *Publisher) version(head signer.Envelope, revision uint64) (uint64, error) {
	if revision == 0 {
		return 0, nil
	}
	b, err := p.verifier.Verify(head)
	if err != nil {
		return 0, err
	}
	return b.Version, nil
}
