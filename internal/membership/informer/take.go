package informer

import (
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/routing/matcher"
)

// take puts changes into force.
func (i *Informer) take(now time.Time, prefix string, changes []storer.Change) {
	for _, c := range changes {
		switch {
		case prefix == i.cfg.UpstreamPrefix:
			i.takeUpstream(now, c)
		case i.cfg.Codec.IsConfiguration(c.Key) && !c.Removed:
			i.takeConfiguration(c)
		case i.cfg.Codec.IsWeights(c.Key) && !c.Removed:
			i.takeWeights(now, prefix, c)
		}
	}
}

func (i *Informer) takeUpstream(now time.Time, c storer.Change) {
	id := i.cfg.Codec.UpstreamID(c.Key)
	if c.Removed {
		i.logNews(i.registrar.Remove(now, id))
		return
	}
	u, err := i.cfg.Codec.Upstream(c.Key, c.Value)
	if err != nil {
		i.line("entry_ignored").WithError(err).WithFields(logrus.Fields{
			"upstream":    id,
			fieldRevision: c.Revision,
		}).Warn("entry names no upstream")
		i.logNews(i.registrar.Remove(now, id))
		return
	}
	i.logNews(i.registrar.Put(u))
}

func (i *Informer) logNews(news []registrar.News) {
	for _, n := range news {
		i.line(string(n.Event)).WithFields(logrus.Fields{
			"upstream": n.Upstream.ID,
			"service":  n.Upstream.Service,
			"address":  n.Upstream.Address.String(),
		}).Info("upstream changed")
	}
}

func (i *Informer) takeConfiguration(c storer.Change) {
	configuration, err := i.cfg.Codec.Configuration(c.Value)
	if err != nil {
		i.line("configuration_ignored").WithError(err).WithFields(logrus.Fields{fieldRevision: c.Revision}).Error("configuration is not valid")
		return
	}
	if m := i.matcher.Load(); m != nil && m.Configuration().Version >= configuration.Version {
		return
	}
	i.matcher.Store(matcher.New(configuration))
	i.line("configuration_in_force").WithFields(logrus.Fields{
		"version":     configuration.Version,
		fieldRevision: c.Revision,
		"routes":      len(configuration.Routes),
	}).Info("configuration is in force")
}

func (i *Informer) takeWeights(now time.Time, prefix string, c storer.Change) {
	model, version, err := i.cfg.Codec.Weights(c.Value)
	if err != nil {
		i.line("weights_ignored").WithError(err).WithFields(logrus.Fields{fieldRevision: c.Revision}).Error("wanted weights are not valid")
		return
	}
	known := i.weights[model]
	if n := len(known); n > 0 && known[n-1].Version >= version {
		return
	}
	since := now
	if i.snapshots[prefix] == 0 {
		since = i.cfg.Started.Add(-i.cfg.WeightsKnownFor)
	}
	// A new list, since readers keep the old one.
	const kept = 16
	from := max(len(known)-kept, 0)
	i.weights[model] = append(append([]Weights(nil), known[from:]...), Weights{Version: version, Since: since})
	i.line("weights_wanted").WithFields(logrus.Fields{
		"model":       model,
		"version":     version,
		fieldRevision: c.Revision,
	}).Info("new weights are wanted")
}
