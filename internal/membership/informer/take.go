package informer

import (
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/routing/matcher"
)

// applyChanges updates the state that is derived from the changed entries.
// Removing the configuration or the desired weights has no effect. Entries up to the
// revision restoredUpTo may be older than the known ones, see replica.restoredUpTo.
func (i *Informer) applyChanges(now time.Time, prefix string, changes []storer.Change, restoredUpTo uint64) {
	for _, c := range changes {
		switch {
		case prefix == i.cfg.UpstreamPrefix:
			i.applyUpstream(now, c, c.Revision <= restoredUpTo)
		case i.cfg.Codec.IsConfiguration(c.Key) && !c.Removed:
			i.applyConfiguration(now, c)
		case i.cfg.Codec.IsWeights(c.Key) && !c.Removed:
			i.applyWeights(now, c)
		}
	}
}

// applyUpstream registers or removes an upstream. An entry that names none removes it. What
// is known of an upstream goes before a restored entry.
func (i *Informer) applyUpstream(now time.Time, c storer.Change, restored bool) {
	id := i.cfg.Codec.UpstreamID(c.Key)
	if c.Removed {
		delete(i.ignored, c.Key)
		i.logUpstreamEvents(i.registrar.Remove(now, id), i.changeFields(c, restored))
		return
	}
	u, err := i.cfg.Codec.Upstream(c.Key, c.Value)
	if err != nil {
		i.logIgnored(c, id, err)
		i.logUpstreamEvents(i.registrar.Remove(now, id), i.changeFields(c, restored))
		return
	}
	delete(i.ignored, c.Key)
	if restored {
		i.logUpstreamEvents(i.registrar.PutRestored(now, u), i.changeFields(c, restored))
		return
	}
	i.logUpstreamEvents(i.registrar.Put(now, u), i.changeFields(c, restored))
}

// logIgnored logs that an entry names no upstream, once until it does or is removed.
func (i *Informer) logIgnored(c storer.Change, id string, err error) {
	if i.ignored[c.Key] {
		return
	}
	i.ignored[c.Key] = true
	i.logEvent("entry_ignored").WithError(err).WithFields(logrus.Fields{
		"upstream":    id,
		fieldRevision: c.Revision,
		"source":      i.upstreamSource,
		"bytes":       len(c.Value),
	}).Warn("ignored invalid upstream entry")
}

// namesUpstream reports whether an entry names an upstream.
func (i *Informer) namesUpstream(e storer.Entry) bool {
	_, err := i.cfg.Codec.Upstream(e.Key, e.Value)
	return err == nil
}

// changeFields returns the log fields of the change of an entry: its version, its source,
// and whether the store may have restored it from an older copy.
func (i *Informer) changeFields(c storer.Change, restored bool) logrus.Fields {
	return logrus.Fields{
		fieldEra:      c.Era,
		fieldRevision: c.Revision,
		"source":      i.upstreamSource,
		"restored":    restored,
	}
}

func (i *Informer) logUpstreamEvents(events []registrar.Event, fields logrus.Fields) {
	for _, e := range events {
		i.logEvent(string(e.Type)).WithFields(fields).WithFields(logrus.Fields{
			"upstream":   e.Upstream.ID,
			"service":    e.Upstream.Service,
			"address":    e.Upstream.Address.String(),
			"started_ms": registrar.StartMillis(e.Upstream.StartedAt),
			"leaving":    e.Upstream.Leaving,
		}).Info("upstream changed")
	}
}

// applyConfiguration puts a configuration into force unless it is invalid or its
// version is not above the current one.
func (i *Informer) applyConfiguration(now time.Time, c storer.Change) {
	configuration, err := i.cfg.Codec.Configuration(c.Value)
	if err != nil {
		i.logEvent("configuration_ignored").WithError(err).WithFields(logrus.Fields{fieldRevision: c.Revision}).Error("ignored invalid configuration")
		return
	}
	if m := i.matcher.Load(); m != nil && m.Configuration().Version >= configuration.Version {
		return
	}
	i.matcher.Store(matcher.New(configuration))
	i.registrar.SetServices(now, func(service string) bool {
		_, ok := configuration.Services[service]
		return ok
	})
	i.logEvent("configuration_in_force").WithFields(logrus.Fields{
		"version":     configuration.Version,
		fieldRevision: c.Revision,
		"routes":      len(configuration.Routes),
	}).Info("applied configuration")
	if i.cfg.OnConfiguration != nil {
		i.cfg.OnConfiguration()
	}
}

// applyWeights records the desired version of a model's weights. An invalid
// entry, or a version that is not above the last one, is ignored.
func (i *Informer) applyWeights(now time.Time, c storer.Change) {
	model, version, err := i.cfg.Codec.Weights(c.Value)
	if err != nil {
		i.logEvent("weights_ignored").WithError(err).WithFields(logrus.Fields{fieldRevision: c.Revision}).Error("ignored invalid desired weights")
		return
	}
	versions := i.weights[model]
	if n := len(versions); n > 0 && versions[n-1].Version >= version {
		return
	}
	since, known := i.weightsSince(now, weightsVersion{model, version})
	// The slice is copied because callers of DesiredWeightsHistory keep the old one.
	const maxPrevious = 16
	from := max(len(versions)-maxPrevious, 0)
	history := append([]Weights(nil), versions[from:]...)
	if overwritten, ok := i.overwritten(now, versions, version, since); ok {
		history = append(history, overwritten)
	}
	i.weights[model] = append(history, Weights{Version: version, Since: since, known: known})
	i.logEvent("weights_wanted").WithFields(logrus.Fields{
		"model":       model,
		"version":     version,
		fieldRevision: c.Revision,
		"source":      i.origin.source,
		"age_ms":      millisecondsSince(now, since),
		"contact_ms":  millisecondsSince(now, i.origin.contact),
	}).Info("desired weights changed")
	i.announceWeights()
}
