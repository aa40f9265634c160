package informer

import "github.com/sirupsen/logrus"

// fieldRevision is the log field for the store revision of an entry or replica.
const fieldRevision = "revision"

// logEvent returns a log entry with the event field set.
func (i *Informer) logEvent(event string) *logrus.Entry { return i.cfg.Log.WithField("event", event) }
