package informer

import (
	"time"

	"github.com/sirupsen/logrus"
)

// HandleError implements follower.Sink.
func (i *Informer) HandleError(now time.Time, prefix string, err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.failing[prefix] {
		return
	}
	i.failing[prefix] = true
	i.line("store_lost").WithError(err).WithFields(logrus.Fields{
		"prefix":     prefix,
		"contact_ms": age(now, i.contactAt[prefix]),
	}).Warn("store does not answer")
}

func age(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// contact notes an answer of the store.
func (i *Informer) contact(now time.Time, prefix string) {
	if i.failing[prefix] {
		i.failing[prefix] = false
		if prefix == i.cfg.UpstreamPrefix {
			i.registrar.StoreReturned(now)
		}
		i.line("store_regained").WithFields(logrus.Fields{
			"prefix":     prefix,
			"contact_ms": age(now, i.contactAt[prefix]),
		}).Info("store answers again")
	}
	i.contactAt[prefix] = now
}

// Silent reports whether the store has not answered for a prefix since a time.
func (i *Informer) Silent(since time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.contactAt[i.cfg.OperatorPrefix].Before(since) || i.contactAt[i.cfg.UpstreamPrefix].Before(since)
}
