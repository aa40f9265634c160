package informer

import (
	"time"

	"github.com/sirupsen/logrus"
)

// maxUnnoticed is the longest time for which the store counts as not having returned while
// a call is without a response.
const maxUnnoticed = 3 * time.Second

// HandleError implements follower.Sink. It logs only the first of consecutive
// errors of a prefix.
func (i *Informer) HandleError(now time.Time, prefix string, err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.failedCallAt[prefix] = i.calledAt[prefix]
	if i.failing[prefix] {
		return
	}
	i.failing[prefix] = true
	i.logEvent("store_lost").WithError(err).WithFields(logrus.Fields{
		"prefix":     prefix,
		"contact_ms": millisecondsSince(now, i.lastResponseAt[prefix]),
	}).Warn("store is unavailable")
}

// millisecondsSince returns the milliseconds from at to now, or -1 if at is the
// zero time.
func millisecondsSince(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// recordResponse records a successful call to the store for a prefix, and logs
// the recovery if earlier calls failed.
func (i *Informer) recordResponse(now time.Time, prefix string) {
	if i.failing[prefix] {
		i.failing[prefix] = false
		// The store may have returned since the last failed call was sent. While the process
		// was suspended, it made no other.
		latestReturn := latest(i.failedCallAt[prefix].Add(maxUnnoticed), i.confirmation.suspendedUntil)
		i.recordRecovery(prefix, earliest(now, latestReturn))
		i.logEvent("store_regained").WithFields(logrus.Fields{
			"prefix":     prefix,
			"contact_ms": millisecondsSince(now, i.lastResponseAt[prefix]),
		}).Info("store is available again")
	}
	i.lastResponseAt[prefix] = now
	i.recordOrigin(now, prefix, sourceStore, now)
}

// StoreUnresponsiveSince reports whether the store has not responded since the
// given time for the operators' or the upstreams' prefix.
func (i *Informer) StoreUnresponsiveSince(since time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.lastResponseAt[i.cfg.OperatorPrefix].Before(since) || i.lastResponseAt[i.cfg.UpstreamPrefix].Before(since)
}

// recordRecovery records that the store became available again for a prefix. Upstreams
// whose entries expired before are given time to register again.
func (i *Informer) recordRecovery(prefix string, at time.Time) {
	if !at.After(i.recoveredAt[prefix]) {
		return
	}
	i.recoveredAt[prefix] = at
	if prefix == i.cfg.UpstreamPrefix {
		i.registrar.HandleStoreRecovery(at)
	}
}
