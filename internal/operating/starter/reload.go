package starter

import (
	"context"
	"reflect"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/routing/budgeter"
)

// reloadInterval is the interval at which the settings file is checked for
// changes.
const reloadInterval = 2 * time.Second

// runReload reloads the settings on a signal and at intervals.
func (g *gateway) runReload(ctx context.Context) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-g.platform.Reload:
			signalled = true
		case <-ticker.C:
		}
		g.reload(signalled)
	}
}

// reload reads the settings and applies them. If they cannot be read, the
// current ones stay in force; the same error is logged once only, unless the
// reload was requested by a signal.
func (g *gateway) reload(signalled bool) {
	settings, err := g.platform.LoadSettings()
	if err != nil {
		if signalled || err.Error() != g.reloadError {
			g.log.WithError(err).WithField("event", "reload_failed").Error("failed to reload settings")
		}
		g.reloadError = err.Error()
		return
	}
	g.reloadError = ""
	before := g.settings.Load()
	if reflect.DeepEqual(before, settings) && !signalled {
		return
	}
	g.settings.Store(settings)
	g.forwarder.SetBounds(g.retryBudget(settings), settings.Bounds.WeightsApply)
	g.noticer.SetBounds(noticeBounds(settings))
	g.rationer.SetBounds(quotaBounds(settings))
	g.log.WithFields(logrus.Fields{
		"event":          "reloaded",
		"signal":         signalled,
		"changed":        !reflect.DeepEqual(before, settings),
		"needs_restart":  needsRestart(before, settings),
		"weights_apply":  settings.Bounds.WeightsApply.String(),
		"retry_ratio":    settings.Bounds.RetryRatio,
		"retry_extra":    settings.Bounds.RetryExtra,
		"known_seeds":    len(settings.SeedPeers),
		"stop_grace_sec": settings.Bounds.StopGrace.Seconds(),
	}).Info("reloaded settings")
}

// needsRestart reports whether any setting that is read only at startup has
// changed.
func needsRestart(before, after *configurer.VMSettings) bool {
	return before.Node != after.Node ||
		before.ClientAddress != after.ClientAddress ||
		before.ReadyAddress != after.ReadyAddress ||
		before.PeerAddress != after.PeerAddress ||
		before.Store != after.Store ||
		before.MemoryBytes != after.MemoryBytes ||
		before.AvailabilityZone != after.AvailabilityZone
}

// retryBudget returns the retry budget configured in the settings.
func (g *gateway) retryBudget(settings *configurer.VMSettings) budgeter.Config {
	return budgeter.Config{
		Ratio:     settings.Bounds.RetryRatio,
		Extra:     settings.Bounds.RetryExtra,
		Window:    settings.Bounds.RetryWindow,
		StartedAt: g.startedAt,
	}
}
