// Package watcher fetches new bundles from the platform's store.
//
// It watches the head, which holds only the newest version number, and reads a bundle
// only if no peer has delivered it after a short random delay. It also polls the head,
// so that a watch that hangs or a restored store only delays a new bundle.
package watcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"gentianstep.example/gentianstep/internal/bundle/publisher"
	"gentianstep.example/gentianstep/internal/bundle/signer"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/operating/pauser"
	"gentianstep.example/gentianstep/internal/platform/storer"
)

// Watcher passes each new bundle in the store to a Holder.
type Watcher struct {
	cfg Config
	// headVersion is the store's version of the head that was processed last.
	headVersion storer.Version
	// fetchedVersion is the store's version of the head whose bundle was read last.
	fetchedVersion storer.Version
	// pendingHead is a head whose bundle could not be read yet.
	pendingHead storer.Entry
	// reassigned is the sum of the document that a head named last by the version of
	// another one in force.
	reassigned string
	nextPoll   time.Time
}

// New returns a Watcher.
func New(cfg Config) *Watcher {
	return &Watcher{cfg: cfg}
}

// Run watches and polls the store until ctx is cancelled. After failures it retries
// with exponential back-off and jitter.
func (w *Watcher) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		err := w.step(ctx)
		if err == nil {
			backoff = minBackoff
			continue
		}
		w.cfg.Log.WithError(err).Debug("failed to read or watch bundles in the store")
		pauser.Pause(ctx, backoff/2+rand.N(backoff/2))
		backoff = min(2*backoff, maxBackoff)
	}
}

// step retries the head whose bundle could not be read, if there is one. Otherwise it
// polls the head if that is due, or else watches it.
func (w *Watcher) step(ctx context.Context) error {
	if w.pendingHead.Revision > 0 {
		return w.processHead(ctx, w.pendingHead)
	}
	if !time.Now().Before(w.nextPoll) {
		return w.pollHead(ctx)
	}
	start := time.Now()
	entry, err := w.watchHead(ctx)
	switch {
	case err == nil:
		return w.processHead(ctx, entry)
	case errors.Is(err, context.DeadlineExceeded):
		return nil
	case errors.Is(err, storer.ErrNotChanged) && time.Since(start) >= minWatchDuration:
		return nil
	}
	return err
}

// pollHead reads and processes the head. It may be older than headVersion if
// the store was restored. A missing head is not an error and resets headVersion.
func (w *Watcher) pollHead(ctx context.Context) error {
	entry, err := w.get(ctx, publisher.HeadKey(w.cfg.Deployment))
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return err
	}
	if err := w.processHead(ctx, entry); err != nil {
		return err
	}
	w.nextPoll = time.Now().Add(pollInterval/2 + rand.N(pollInterval))
	return nil
}

// watchHead waits for a change of the head, at most until the next poll.
func (w *Watcher) watchHead(ctx context.Context) (storer.Entry, error) {
	ctx, cancel := context.WithDeadline(ctx, w.nextPoll)
	defer cancel()
	return w.cfg.Store.Watch(ctx, publisher.HeadKey(w.cfg.Deployment), w.headVersion)
}

// get reads a key within fetchTimeout.
func (w *Watcher) get(ctx context.Context, key string) (storer.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return w.cfg.Store.Get(ctx, key)
}

// processHead reads the bundle that the head points to, unless it is in force, was read
// for this version of the head or is delivered by a peer within the random delay. There
// is no delay if no bundle is in force. A head that cannot be decoded is skipped.
func (w *Watcher) processHead(ctx context.Context, entry storer.Entry) error {
	pointer, err := publisher.DecodePointer(entry.Value)
	if err == nil && w.isReassigned(pointer) {
		if err := w.fetchBundle(ctx, pointer.Version); err != nil {
			w.pendingHead = entry
			return err
		}
		w.reassigned = pointer.DocumentSHA256
	}
	if err != nil || w.cfg.Holder.Version() >= pointer.Version || w.fetchedVersion == entry.Version() {
		w.headVersion, w.pendingHead = entry.Version(), storer.Entry{}
		return nil
	}
	if w.cfg.Holder.Version() > 0 {
		pauser.Pause(ctx, rand.N(maxFetchDelay))
	}
	if w.cfg.Holder.Version() < pointer.Version {
		if err := w.fetchBundle(ctx, pointer.Version); err != nil {
			w.pendingHead = entry // retried without reading the head again, which would use up a rate-limited call
			return err
		}
	}
	w.headVersion, w.fetchedVersion, w.pendingHead = entry.Version(), entry.Version(), storer.Entry{}
	return nil
}

// isReassigned reports whether the head names another bundle than the one in force by the
// same version, and has not been read yet: the store was restored from a copy in which the
// version was not claimed.
func (w *Watcher) isReassigned(p publisher.Pointer) bool {
	current := w.cfg.Holder.Current()
	return current != nil && p.Version == current.Bundle.Version && p.DocumentSHA256 != "" &&
		p.DocumentSHA256 != w.reassigned && p.DocumentSHA256 != current.Envelope.DocumentSHA256()
}

// fetchBundle reads the bundle of a version and passes it to the Holder. A missing
// bundle is logged and not retried for the same head.
func (w *Watcher) fetchBundle(ctx context.Context, version uint64) error {
	entry, err := w.get(ctx, publisher.VersionKey(w.cfg.Deployment, version))
	if errors.Is(err, storer.ErrNotFound) {
		w.cfg.Log.WithField("version", version).Warn("bundle version named by the head does not exist in the store")
		return nil
	}
	if err != nil {
		return err
	}
	w.offerBundle(entry)
	return nil
}

// offerBundle decodes a bundle and passes it to the Holder, which verifies it. A stale
// bundle is not logged, since a peer may have delivered a newer one.
func (w *Watcher) offerBundle(entry storer.Entry) {
	e, err := signer.DecodeEnvelope(entry.Value)
	if err == nil {
		err = w.cfg.Holder.Offer(time.Now(), e)
	}
	if err != nil && !classifier.IsKind(err, classifier.BundleStale) {
		w.cfg.Log.WithError(err).WithField("kind", classifier.KindOf(err)).Warn("bundle from the store rejected")
	}
}
