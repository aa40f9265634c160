// Package watcher follows the newest bundle in the platform's store.
package watcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/holder"
	"gentianstep.example/gentianstep/internal/bundle/signer"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/platform/storer"
)

const (
	// watchTimeout ends a watch that has gone silent.
	watchTimeout = 10 * time.Second
	firstRetry   = 200 * time.Millisecond
	lastRetry    = 5 * time.Second
)

// Config holds what a Watcher is built from.
type Config struct {
	Store  storer.Store
	Key    string
	Holder *holder.Holder
	Log    *logrus.Entry
}

// Watcher offers each bundle that it finds in the store to a holder.
type Watcher struct {
	cfg Config
}

// New returns a Watcher.
func New(cfg Config) *Watcher {
	return &Watcher{cfg: cfg}
}

// Run follows the key until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var revision uint64
	wait := firstRetry
	for ctx.Err() == nil {
		entry, err := w.watch(ctx, revision)
		switch {
		case err == nil:
			revision = entry.Revision
			wait = firstRetry
			w.offer(entry)
			continue
		case errors.Is(err, storer.ErrNotChanged), errors.Is(err, context.DeadlineExceeded):
			wait = firstRetry
			continue
		}
		w.cfg.Log.WithError(err).Debug("bundle watch failed")
		select {
		case <-time.After(wait/2 + rand.N(wait/2)):
		case <-ctx.Done():
		}
		wait = min(2*wait, lastRetry)
	}
}

func (w *Watcher) watch(ctx context.Context, after uint64) (storer.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return w.cfg.Store.Watch(ctx, w.cfg.Key, after)
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
