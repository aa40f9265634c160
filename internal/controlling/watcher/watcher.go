// Package watcher follows the newest bundle in the platform's store.
//
// It watches the head, which holds the newest version number alone, and reads
// a bundle only when no peer has brought it by then. It also polls the head,
// so that a silent watch or a restored store delays a bundle at most.
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

// Watcher offers each bundle that it finds in the store to a holder.
type Watcher struct {
	cfg Config
	// revision is that of the head that was followed last.
	revision uint64
	// fetched is the revision of the head whose bundle was read last.
	fetched uint64
	// owed is a head whose bundle could not be read yet.
	owed   storer.Entry
	pollAt time.Time
}

// New returns a Watcher.
func New(cfg Config) *Watcher {
	return &Watcher{cfg: cfg}
}

// Run follows the store until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	wait := firstRetry
	for ctx.Err() == nil {
		err := w.step(ctx)
		if err == nil {
			wait = firstRetry
			continue
		}
		w.cfg.Log.WithError(err).Debug("bundle watch failed")
		pauser.Pause(ctx, wait/2+rand.N(wait/2))
		wait = min(2*wait, lastRetry)
	}
}

// step reads a bundle that is owed, else the head when that is due, and
// watches it otherwise.
func (w *Watcher) step(ctx context.Context) error {
	if w.owed.Revision > 0 {
		return w.follow(ctx, w.owed)
	}
	if !time.Now().Before(w.pollAt) {
		return w.poll(ctx)
	}
	start := time.Now()
	entry, err := w.watch(ctx)
	switch {
	case err == nil:
		return w.follow(ctx, entry)
	case errors.Is(err, context.DeadlineExceeded):
		return nil
	case errors.Is(err, storer.ErrNotChanged) && time.Since(start) >= shortestWatch:
		return nil
	}
	return err
}

// poll reads the head. Its revision may be lower than that of the last one
// where the store has been restored since. No head is no failure.
func (w *Watcher) poll(ctx context.Context) error {
	entry, err := w.get(ctx, publisher.HeadKey(w.cfg.Deployment))
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return err
	}
	if err := w.follow(ctx, entry); err != nil {
		return err
	}
	w.pollAt = time.Now().Add(pollInterval/2 + rand.N(pollInterval))
	return nil
}

// watch waits for a new head, at the longest until the next poll.
func (w *Watcher) watch(ctx context.Context) (storer.Entry, error) {
	ctx, cancel := context.WithDeadline(ctx, w.pollAt)
	defer cancel()
	return w.cfg.Store.Watch(ctx, publisher.HeadKey(w.cfg.Deployment), w.revision)
}

func (w *Watcher) get(ctx context.Context, key string) (storer.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return w.cfg.Store.Get(ctx, key)
}

// follow reads the bundle that the head points to, once, unless a peer brings
// it first.
func (w *Watcher) follow(ctx context.Context, entry storer.Entry) error {
	pointer, err := publisher.DecodePointer(entry.Value)
	if err != nil || w.cfg.Holder.Version() >= pointer.Version || w.fetched == entry.Revision {
		w.revision, w.owed = entry.Revision, storer.Entry{}
		return nil
	}
	if w.cfg.Holder.Version() > 0 {
		pauser.Pause(ctx, rand.N(spreadWindow))
	}
	if w.cfg.Holder.Version() < pointer.Version {
		if err := w.fetch(ctx, pointer.Version); err != nil {
			w.owed = entry // reading the head again would use up the next call
			return err
		}
	}
	w.revision, w.fetched, w.owed = entry.Revision, entry.Revision, storer.Entry{}
	return nil
}

// fetch reads the bundle of a version and offers it.
func (w *Watcher) fetch(ctx context.Context, version uint64) error {
	entry, err := w.get(ctx, publisher.VersionKey(w.cfg.Deployment, version))
	if errors.Is(err, storer.ErrNotFound) {
		w.cfg.Log.WithField("version", version).Warn("head points to a version that was never claimed")
		return nil
	}
	if err != nil {
		return err
	}
	w.offer(entry)
	return nil
}

func (w *Watcher) offer(entry storer.Entry) {
	e, err := signer.DecodeEnvelope(entry.Value)
	if err == nil {
		err = w.cfg.Holder.Offer(time.Now(), e)
	}
	if err != nil && !classifier.IsKind(err, classifier.BundleStale) {
		w.cfg.Log.WithError(err).WithField("kind", classifier.KindOf(err)).Warn("bundle refused")
	}
}
