package watcher

import (
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/bundle/holder"
	"gentianstep.example/gentianstep/internal/platform/storer"
)

const (
	// fetchTimeout is the timeout of one read from the store.
	fetchTimeout = 5 * time.Second
	// pollInterval is the mean interval between two polls of the head. A watch ends at
	// the next poll, so a watch that hangs delays a bundle by at most 1.5 times this
	// interval.
	pollInterval = 12 * time.Second
	// minWatchDuration is the duration below which a watch that returns without a
	// change counts as failed, so that a faulty service is not called in a tight loop.
	minWatchDuration = time.Second
	// maxFetchDelay is the maximum random delay between the detection of a new version
	// and the read of its bundle from the store. The read is skipped if a peer delivers
	// the bundle within the delay.
	maxFetchDelay = time.Second
	// minBackoff and maxBackoff limit the exponential back-off after failures.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// Config configures a Watcher.
type Config struct {
	Store storer.Store
	// Deployment is the name of the deployment whose keys are watched.
	Deployment string
	// Holder receives the bundles.
	Holder *holder.Holder
	Log    *logrus.Entry
}
