package starter

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/routing/budgeter"
)

// reloadEvery is how often the settings are looked at without a signal.
const reloadEvery = 2 * time.Second

// loopReload puts changed settings into force, at SIGHUP and by itself.
func (g *gateway) loopReload(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(reloadEvery)
	defer ticker.Stop()
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			asked = true
		case <-ticker.C:
		}
		g.reload(asked)
	}
}

// reload reads the settings. Those that cannot be read leave the ones in force.
func (g *gateway) reload(asked bool) {
	settings, err := g.platform.LoadSettings()
	if err != nil {
		if asked || err.Error() != g.reloadError {
			g.log.WithError(err).WithField("event", "reload_failed").Error("settings were not reloaded")
		}
		g.reloadError = err.Error()
		return
	}
	g.reloadError = ""
	before := g.settings.Load()
	if reflect.DeepEqual(before, settings) && !asked {
		return
	}
	g.settings.Store(settings)
	g.forward.SetBounds(budgetOf(settings), settings.Bounds.WeightsApply)
	g.log.WithFields(logrus.Fields{
		"event":          "reloaded",
		"signal":         asked,
		"changed":        !reflect.DeepEqual(before, settings),
		"needs_restart":  needsRestart(before, settings),
		"weights_apply":  settings.Bounds.WeightsApply.String(),
		"retry_ratio":    settings.Bounds.RetryRatio,
		"retry_extra":    settings.Bounds.RetryExtra,
		"known_seeds":    len(settings.SeedPeers),
		"stop_grace_sec": settings.Bounds.StopGrace.Seconds(),
	}).Info("settings were reloaded")
}

// needsRestart reports whether settings changed that are read only at start.
func needsRestart(before, after *configurer.VMSettings) bool {
	return before.Node != after.Node ||
		before.ClientAddress != after.ClientAddress ||
		before.ReadyAddress != after.ReadyAddress ||
		before.PeerAddress != after.PeerAddress ||
		before.Store != after.Store ||
		before.MemoryBytes != after.MemoryBytes ||
		before.AvailabilityZone != after.AvailabilityZone
}

func budgetOf(settings *configurer.VMSettings) budgeter.Config {
	return budgeter.Config{
		Ratio:  settings.Bounds.RetryRatio,
		Extra:  settings.Bounds.RetryExtra,
		Window: settings.Bounds.RetryWindow,
	}
}
