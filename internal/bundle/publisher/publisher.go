// Package publisher writes signed bundles to the platform's store.
//
// A publish first creates the key of its version, which claims the number for
// good and keeps the bundle, and then makes the head point to it by
// compare-and-swap. It may be repeated with the same signed bundle after any
// failure.
package publisher

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"gentianstep.example/gentianstep/internal/bundle/signer"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/platform/storer"
)

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

// Publish makes e the newest bundle if its version is the next one that no
// other bundle has claimed.
func (p *Publisher) Publish(ctx context.Context, e signer.Envelope) error {
	b, err := p.verifier.Verify(e)
	if err != nil {
		return err
	}
	value, err := json.Marshal(e)
	if err != nil {
		return fmt.Errorf("encode envelope: %w", err)
	}
	if len(value) > storer.MaxValueBytes {
		return classifier.New(classifier.BundleInvalid, "signed bundle takes %d bytes, the store takes %d", len(value), storer.MaxValueBytes)
	}
	h, err := p.head(ctx)
	if err != nil {
		return err
	}
	if h.version == b.Version && h.revision > 0 && p.owns(ctx, b.Version, value) {
		return p.replace(ctx, h, b.Version)
	}
	if err := p.checkNext(ctx, h.version, b.Version); err != nil {
		return err
	}
	if err := p.claim(ctx, b.Version, value); err != nil {
		return err
	}
	return p.replace(ctx, h, b.Version)
}

// owns reports whether the version was claimed by the same bytes.
func (p *Publisher) owns(ctx context.Context, version uint64, value []byte) bool {
	entry, err := p.store.Get(ctx, p.versionKey(version))
	return err == nil && bytes.Equal(entry.Value, value)
}

// checkNext allows a version above the published one when all numbers between
// them are claimed by publishes that broke off.
func (p *Publisher) checkNext(ctx context.Context, published, version uint64) error {
	if version <= published {
		return classifier.New(classifier.BundleConflict, "got version %d, version %d is published", version, published)
	}
	for between := published + 1; between < version; between++ {
		_, err := p.store.Get(ctx, p.versionKey(between))
		if errors.Is(err, storer.ErrNotFound) {
			return classifier.New(classifier.BundleConflict, "got version %d, version %d is published and version %d is free", version, published, between)
		}
		if err != nil {
			return unavailable(err, "read version %d", between)
		}
	}
	return nil
}

// claim creates the key of a version. A claim by the same bytes is as good.
func (p *Publisher) claim(ctx context.Context, version uint64, value []byte) error {
	key := p.versionKey(version)
	_, putErr := p.store.Put(ctx, key, value, storer.PutOptions{})
	if putErr == nil {
		return nil
	}
	entry, err := p.store.Get(ctx, key)
	switch {
	case err == nil && bytes.Equal(entry.Value, value):
		return nil
	case err == nil:
		return classifier.New(classifier.BundleConflict, "version %d is claimed by another bundle", version)
	}
	return unavailable(putErr, "claim version %d", version)
}

// replace swaps the head and settles a lost answer by reading the head back.
// Whoever claimed the version put it there.
func (p *Publisher) replace(ctx context.Context, h head, version uint64) error {
	key := HeadKey(p.verifier.Deployment)
	value, err := json.Marshal(Pointer{Version: version})
	if err != nil {
		return fmt.Errorf("encode head: %w", err)
	}
	_, putErr := p.store.Put(ctx, key, value, storer.PutOptions{IfRevision: h.revision})
	if putErr == nil {
		return nil
	}
	now, err := p.head(ctx)
	switch {
	case err == nil && now.revision != h.revision && now.version == version:
		return nil
	case err == nil && now.revision != h.revision:
		return classifier.New(classifier.BundleConflict, "another operator published version %d, got version %d", now.version, version)
	}
	return unavailable(putErr, "publish version %d; publish the same signed bundle again", version)
}

func (p *Publisher) versionKey(version uint64) string {
	return VersionKey(p.verifier.Deployment, version)
}

func unavailable(err error, format string, args ...any) error {
	return classifier.Wrap(classifier.StoreUnavailable, err, format, args...)
}
