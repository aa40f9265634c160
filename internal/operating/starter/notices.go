package starter

import (
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/watcher"
	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/routing/withholder"
	"gentianstep.example/gentianstep/internal/upstream/noticer"
)

// maxHoldOff is the longest hold-off that an upstream of a bundle can request.
const maxHoldOff = 10 * time.Minute

// newProcesses returns the notices of the upstreams of the bundle in force.
func newProcesses(m *meter.Meter, onLeaving func(now time.Time, name string), log *logrus.Entry) *noticer.Processes {
	bounds := withholder.Config{Drain: watcher.DrainTimeout, MaxHoldOff: maxHoldOff}
	return noticer.NewProcesses(noticer.ProcessesConfig{
		Noticer:   noticer.New(noticer.Config{Bounds: bounds, Meter: m, Log: log}),
		OnLeaving: onLeaving,
	})
}
