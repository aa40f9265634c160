package meter

import (
	"fmt"

	"github.com/sirupsen/logrus"
)

// Hook counts what a log says: lines with the field kind are failures, lines
// of event route are routing decisions. So nothing is logged but not counted.
type Hook struct {
	Meter *Meter
}

var _ logrus.Hook = Hook{}

// Levels implements logrus.Hook.
func (h Hook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (h Hook) Fire(entry *logrus.Entry) error {
	if kind, ok := entry.Data["kind"]; ok {
		h.Meter.Count(Failures, fmt.Sprint(kind), 1)
	}
	if entry.Data["event"] == "route" {
		h.Meter.Count(RouteDecisions, fmt.Sprint(entry.Data["reason"]), 1)
	}
	return nil
}
