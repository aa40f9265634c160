package watcher

import (
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/holder"
	"gentianstep.example/gentianstep/internal/platform/storer"
)

const (
	// fetchTimeout bounds one read of the store.
	fetchTimeout = 5 * time.Second
	// pollInterval is the mean time between two reads of the head. A watch ends with it, so one that has gone silent
	// delays a bundle by half as much again at most.
	pollInterval = 12 * time.Second
	// shortestWatch is the time below which an unchanged answer counts as a
	// failure, so that a faulty service is not asked without a pause.
	shortestWatch = time.Second
	// spreadWindow is the longest wait between the news of a version and the
	// read of its bundle, which may come from a peer meanwhile.
	spreadWindow = time.Second
	firstRetry   = 200 * time.Millisecond
	lastRetry    = 5 * time.Second
)

// Config holds what a Watcher is built from.
type Config struct {
	Store storer.Store
	// Deployment names the keys to follow.
	Deployment string
	Holder     *holder.Holder
	Log        *logrus.Entry
}
