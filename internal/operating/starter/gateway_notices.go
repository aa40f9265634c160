package starter

import (
	"gentianstep.example/gentianstep/internal/membership/informer"
	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/routing/withholder"
	"gentianstep.example/gentianstep/internal/upstream/noticer"
)

// maxHoldOffWindows is the longest hold-off that an upstream can request, in
// windows of the retry budget.
const maxHoldOffWindows = 60

// noticeBounds returns the bounds of notices configured in the settings.
func noticeBounds(settings *configurer.VMSettings) withholder.Config {
	return withholder.Config{
		Drain:      settings.Bounds.Drain,
		MaxHoldOff: maxHoldOffWindows * settings.Bounds.RetryWindow,
	}
}

// engineDirectory is the directory of the engines that take orders.
type engineDirectory struct {
	*informer.Informer
	noticer *noticer.Noticer
}

// Engines returns the engines without those whose responses state that they want
// no requests.
func (d engineDirectory) Engines() []*registrar.Upstream {
	return d.noticer.Open(d.Informer.Engines())
}

// healthPath returns the path of the health checks of a service, empty if there is none.
func (g *gateway) healthPath(service string) string {
	m := g.informer.Matcher()
	if m == nil {
		return ""
	}
	return m.Configuration().Services[service].HealthPath
}
