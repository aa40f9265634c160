package informer

import "github.com/sirupsen/logrus"

// fieldRevision is the store's revision of what a line tells.
const fieldRevision = "revision"

// line begins a log line of an event.
func (i *Informer) line(event string) *logrus.Entry { return i.cfg.Log.WithField("event", event) }
