// Package publisher writes signed bundles to the platform's key-value store.
//
// Publishing has two steps. It first creates the key of the version with the
// bundle as its value, which claims the version number permanently, and then
// updates the head to this version by compare-and-swap. Publishing is idempotent:
// after any failure it can be retried with the same signed bundle.
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

// Config holds the dependencies of a Publisher.
type Config struct {
	Store    storer.Store
	Verifier signer.Verifier
}

// Publisher publishes bundles and reads published ones.
type Publisher struct {
	store    storer.Store
	verifier signer.Verifier
}

// New returns a Publisher that uses the given store and verifier.
func New(cfg Config) *Publisher {
	return &Publisher{store: cfg.Store, verifier: cfg.Verifier}
}

// Publish makes e the newest bundle. It returns a BundleConflict error if another
// bundle has claimed the version, if the version is not higher than the published
// one, or if a version in between is unclaimed.
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
		return classifier.New(classifier.BundleInvalid, "signed bundle has %d bytes, the store accepts at most %d", len(value), storer.MaxValueBytes)
	}
	h, err := p.readHead(ctx)
	if err != nil {
		return err
	}
	if h.version == b.Version && h.storedAt.Revision > 0 && p.isClaimedBy(ctx, b.Version, value) {
		return p.updateHead(ctx, h, Pointer{Version: b.Version, DocumentSHA256: e.DocumentSHA256()})
	}
	if err := p.checkNext(ctx, h.version, b.Version); err != nil {
		return err
	}
	if err := p.claimVersion(ctx, b.Version, value); err != nil {
		return err
	}
	return p.updateHead(ctx, h, Pointer{Version: b.Version, DocumentSHA256: e.DocumentSHA256()})
}

// isClaimedBy reports whether the version is claimed by the encoded bundle value. It
// returns false if the version cannot be read.
func (p *Publisher) isClaimedBy(ctx context.Context, version uint64, value []byte) bool {
	entry, err := p.store.Get(ctx, p.versionKey(version))
	return err == nil && bytes.Equal(entry.Value, value)
}

// checkNext returns an error unless version is higher than the published one and
// every version in between is claimed, which is the case after interrupted
// publishes.
func (p *Publisher) checkNext(ctx context.Context, published, version uint64) error {
	if version <= published {
		return classifier.New(classifier.BundleConflict, "got version %d, but version %d is published", version, published)
	}
	for skipped := published + 1; skipped < version; skipped++ {
		_, err := p.store.Get(ctx, p.versionKey(skipped))
		if errors.Is(err, storer.ErrNotFound) {
			return classifier.New(classifier.BundleConflict, "got version %d, but version %d is published and version %d is unclaimed", version, published, skipped)
		}
		if err != nil {
			return storeUnavailable(err, "read version %d", skipped)
		}
	}
	return nil
}

// claimVersion creates the key of a version. It succeeds if the key already has the
// same value, such as after a write whose response was lost.
func (p *Publisher) claimVersion(ctx context.Context, version uint64, value []byte) error {
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
	return storeUnavailable(putErr, "claim version %d", version)
}

// updateHead sets the head to next by compare-and-swap. If the write fails, it
// reads the head again, because the write may have taken effect although its
// response was lost. A head at its version is a success: the version is claimed by
// this bundle, so the head can only refer to it.
func (p *Publisher) updateHead(ctx context.Context, h head, next Pointer) error {
	key := HeadKey(p.verifier.Deployment)
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode head: %w", err)
	}
	_, putErr := p.store.Put(ctx, key, value, storer.PutOptions{IfVersion: h.storedAt})
	if putErr == nil {
		return nil
	}
	current, err := p.readHead(ctx)
	switch {
	case err == nil && current.storedAt != h.storedAt && current.version == next.Version:
		return nil
	case err == nil && current.storedAt != h.storedAt:
		return classifier.New(classifier.BundleConflict, "another operator published version %d before version %d could be published", current.version, next.Version)
	}
	return storeUnavailable(putErr, "publish version %d; publish the same signed bundle again", next.Version)
}

func (p *Publisher) versionKey(version uint64) string {
	return VersionKey(p.verifier.Deployment, version)
}

// storeUnavailable wraps an error of the store.
func storeUnavailable(err error, format string, args ...any) error {
	return classifier.Wrap(classifier.StoreUnavailable, err, format, args...)
}
