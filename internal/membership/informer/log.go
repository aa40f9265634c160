package informer

import "github.com/sirupsen/logrus"

// fieldRevision is the log field for the store revision of an entry or replica.
const fieldRevision = "revision"

// fieldEra is the log field for the era of a revision, 0 if the store states none.
const fieldEra = "era"

// logEvent returns a log entry with the event field set.
func (i *Informer) logEvent(event string) *logrus.Entry { return i.cfg.Log.WithField("event", event) }
