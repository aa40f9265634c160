package meter

import (
	"fmt"

	"github.com/sirupsen/logrus"
)

// Hook is a log hook that derives counters from log lines: a line with the field
// kind counts as a failure, a line with event "route" as a routing decision. This
// way every logged failure and decision is counted.
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
