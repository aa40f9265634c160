// Package watcher follows the newest bundle in the platform's store.
//
// It watches the small notice of the newest version and reads the bundle only
// when no peer has brought it by then. Now and then it reads the head without
// a notice, so that a lost notice or a restored store delays a bundle at most.
package watcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"gentianstep.example/gentianstep/internal/bundle/publisher"
	"gentianstep.example/gentianstep/internal/bundle/signer"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/platform/storer"
)

// Watcher offers each bundle that it finds in the store to a holder.
type Watcher struct {
	cfg      Config
	revision uint64
	pollAt   time.Time
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
		pause(ctx, wait/2+rand.N(wait/2))
		wait = min(2*wait, lastRetry)
	}
}

// step reads the head when it is due and waits for a notice otherwise.
func (w *Watcher) step(ctx context.Context) error {
	if !time.Now().Before(w.pollAt) {
		return w.poll(ctx)
	}
	start := time.Now()
	notice, err := w.watch(ctx)
	switch {
	case err == nil:
		return w.noticed(ctx, notice)
	case errors.Is(err, context.DeadlineExceeded):
		return nil
	case errors.Is(err, storer.ErrNotChanged) && time.Since(start) >= shortestWatch:
		return nil
	}
	return err
}

// poll reads the head and forgets the revision of the notice, which may be of
// a store that has been restored since.
func (w *Watcher) poll(ctx context.Context) error {
	if err := w.fetch(ctx); err != nil {
		return err
	}
	w.revision = 0
	w.pollAt = time.Now().Add(pollInterval/2 + rand.N(pollInterval))
	return nil
}

// watch waits for a notice, at the longest until the next read of the head.
func (w *Watcher) watch(ctx context.Context) (storer.Entry, error) {
	ctx, cancel := context.WithDeadline(ctx, w.pollAt)
	defer cancel()
	return w.cfg.Store.Watch(ctx, w.cfg.NoticeKey, w.revision)
}

// noticed reads the head unless a peer brings the version first.
func (w *Watcher) noticed(ctx context.Context, entry storer.Entry) error {
	notice, err := publisher.DecodeNotice(entry.Value)
	if err == nil && w.cfg.Holder.Version() >= notice.Version {
		w.revision = entry.Revision
		return nil
	}
	pause(ctx, rand.N(spreadWindow))
	if err != nil || w.cfg.Holder.Version() < notice.Version {
		if err := w.fetch(ctx); err != nil {
			w.pollAt = time.Time{} // another watch would use up the next call
			return err
		}
	}
	w.revision = entry.Revision
	return nil
}

// fetch reads the head and offers it. No head is no failure.
func (w *Watcher) fetch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	entry, err := w.cfg.Store.Get(ctx, w.cfg.HeadKey)
	if errors.Is(err, storer.ErrNotFound) {
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

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
