package informer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/membership/registrar"
	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/routing/matcher"
)

const (
	// expireEvery is how often missing upstreams are looked at.
	expireEvery = 250 * time.Millisecond
)

// Config holds what an Informer is built from.
type Config struct {
	Codec Codec
	// OperatorPrefix, UpstreamPrefix and VMPrefix are the prefixes that are
	// followed.
	OperatorPrefix string
	UpstreamPrefix string
	VMPrefix       string
	// Started is when the process started. Weights that were wanted before
	// count as wanted for WeightsKnownFor at that time.
	Started         time.Time
	WeightsKnownFor time.Duration
	Log             *logrus.Entry
}

// Weights are the wanted weights of a model.
type Weights struct {
	Version uint64
	// Since is when the version was wanted first, as far as is known.
	Since time.Time
}

// Informer may be used by many goroutines.
type Informer struct {
	cfg     Config
	matcher atomic.Pointer[matcher.Matcher]

	mu       sync.Mutex
	replicas map[string]*replica
	// snapshots counts, for each prefix, the complete lists that were taken.
	snapshots map[string]int
	registrar *registrar.Registrar
	weights   map[string][]Weights
	// contactAt is when each prefix was last heard of from the store.
	contactAt map[string]time.Time
	failing   map[string]bool
}

// New returns an Informer that knows nothing.
func New(cfg Config) *Informer {
	i := &Informer{
		cfg:       cfg,
		replicas:  make(map[string]*replica),
		snapshots: make(map[string]int),
		registrar: registrar.New(),
		weights:   make(map[string][]Weights),
		contactAt: make(map[string]time.Time),
		failing:   make(map[string]bool),
	}
	for _, prefix := range i.prefixes() {
		i.replicas[prefix] = newReplica()
	}
	return i
}

func (i *Informer) prefixes() []string {
	return []string{i.cfg.OperatorPrefix, i.cfg.UpstreamPrefix, i.cfg.VMPrefix}
}

// Run drops upstreams whose entries stay away, until ctx ends.
func (i *Informer) Run(ctx context.Context) {
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			i.mu.Lock()
			i.logNews(i.registrar.Expire(time.Now()))
			i.mu.Unlock()
		}
	}
}

// Matcher returns the configuration in force, nil while there is none.
func (i *Informer) Matcher() *matcher.Matcher { return i.matcher.Load() }

// Ready reports whether a configuration and a list of upstreams are known.
func (i *Informer) Ready() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.matcher.Load() != nil && i.snapshots[i.cfg.UpstreamPrefix] > 0
}

// Usable returns the upstreams of a service that may get new work. The list
// must not be changed.
func (i *Informer) Usable(service string) []*registrar.Upstream {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.registrar.Usable(service)
}

// WantedWeights returns the versions of a model that were wanted, the newest
// last.
func (i *Informer) WantedWeights(model string) []Weights {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.weights[model]
}

// VMs returns the entries of the VMs of the deployment.
func (i *Informer) VMs() []storer.Entry {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.replicas[i.cfg.VMPrefix].snapshot(i.cfg.VMPrefix).Entries
}

// Replace implements follower.Sink.
func (i *Informer) Replace(now time.Time, prefix string, entries []storer.Entry, revision uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.contact(now, prefix)
	i.take(now, prefix, i.replicas[prefix].replace(entries, revision))
	i.snapshots[prefix]++
}

// Apply implements follower.Sink.
func (i *Informer) Apply(now time.Time, prefix string, changes []storer.Change, revision uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.contact(now, prefix)
	i.take(now, prefix, i.replicas[prefix].apply(changes, revision))
}

// Failed implements follower.Sink.
func (i *Informer) Failed(now time.Time, prefix string, err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.failing[prefix] {
		return
	}
	i.failing[prefix] = true
	i.cfg.Log.WithError(err).WithFields(logrus.Fields{
		"event":      "store_lost",
		"prefix":     prefix,
		"contact_ms": age(now, i.contactAt[prefix]),
	}).Warn("store does not answer")
}

func age(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// contact notes an answer of the store.
func (i *Informer) contact(now time.Time, prefix string) {
	if i.failing[prefix] {
		i.failing[prefix] = false
		if prefix == i.cfg.UpstreamPrefix {
			i.registrar.StoreReturned(now)
		}
		i.cfg.Log.WithFields(logrus.Fields{
			"event":      "store_regained",
			"prefix":     prefix,
			"contact_ms": age(now, i.contactAt[prefix]),
		}).Info("store answers again")
	}
	i.contactAt[prefix] = now
}

// Silent reports whether the store has not answered for a prefix since a time.
func (i *Informer) Silent(since time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.contactAt[i.cfg.OperatorPrefix].Before(since) || i.contactAt[i.cfg.UpstreamPrefix].Before(since)
}

// Newer returns what is known beyond the given revisions of the prefixes.
func (i *Informer) Newer(revisions map[string]uint64) []Replica {
	i.mu.Lock()
	defer i.mu.Unlock()
	var newer []Replica
	for _, prefix := range i.prefixes() {
		r := i.replicas[prefix]
		if r.revision > revisions[prefix] {
			newer = append(newer, r.snapshot(prefix))
		}
	}
	return newer
}

// Revisions returns the revision of each prefix.
func (i *Informer) Revisions() map[string]uint64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	revisions := make(map[string]uint64)
	for prefix, r := range i.replicas {
		revisions[prefix] = r.revision
	}
	return revisions
}

// Offer takes the list of another VM where it is newer than what is known.
func (i *Informer) Offer(now time.Time, offered Replica) {
	i.mu.Lock()
	defer i.mu.Unlock()
	r, ok := i.replicas[offered.Prefix]
	if !ok || offered.Revision <= r.revision {
		return
	}
	changes := r.replace(offered.Entries, offered.Revision)
	if len(changes) > 0 {
		i.cfg.Log.WithFields(logrus.Fields{
			"event":    "peer_news",
			"prefix":   offered.Prefix,
			"revision": offered.Revision,
			"changes":  len(changes),
		}).Info("another VM knew more")
	}
	i.take(now, offered.Prefix, changes)
	i.snapshots[offered.Prefix]++
}

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
		i.cfg.Log.WithError(err).WithFields(logrus.Fields{
			"event":    "entry_ignored",
			"upstream": id,
			"revision": c.Revision,
		}).Warn("entry names no upstream")
		i.logNews(i.registrar.Remove(now, id))
		return
	}
	i.logNews(i.registrar.Put(u))
}

func (i *Informer) logNews(news []registrar.News) {
	for _, n := range news {
		i.cfg.Log.WithFields(logrus.Fields{
			"event":    n.Event,
			"upstream": n.Upstream.ID,
			"service":  n.Upstream.Service,
			"address":  n.Upstream.Address.String(),
		}).Info("upstream changed")
	}
}

func (i *Informer) takeConfiguration(c storer.Change) {
	configuration, err := i.cfg.Codec.Configuration(c.Value)
	if err != nil {
		i.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "configuration_ignored", "revision": c.Revision}).Error("configuration is not valid")
		return
	}
	if m := i.matcher.Load(); m != nil && m.Configuration().Version >= configuration.Version {
		return
	}
	i.matcher.Store(matcher.New(configuration))
	i.cfg.Log.WithFields(logrus.Fields{
		"event":    "configuration_in_force",
		"version":  configuration.Version,
		"revision": c.Revision,
		"routes":   len(configuration.Routes),
	}).Info("configuration is in force")
}

func (i *Informer) takeWeights(now time.Time, prefix string, c storer.Change) {
	model, version, err := i.cfg.Codec.Weights(c.Value)
	if err != nil {
		i.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "weights_ignored", "revision": c.Revision}).Error("wanted weights are not valid")
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
	i.cfg.Log.WithFields(logrus.Fields{
		"event":    "weights_wanted",
		"model":    model,
		"version":  version,
		"revision": c.Revision,
	}).Info("new weights are wanted")
}

// Engines returns the engines that may get new work.
func (i *Informer) Engines() []*registrar.Upstream {
	i.mu.Lock()
	defer i.mu.Unlock()
	var engines []*registrar.Upstream
	for _, u := range i.registrar.All() {
		if len(u.Weights) > 0 && !u.Leaving {
			engines = append(engines, u)
		}
	}
	return engines
}

// Wanted returns the newest wanted weights of each model.
func (i *Informer) Wanted() map[string]Weights {
	i.mu.Lock()
	defer i.mu.Unlock()
	wanted := make(map[string]Weights, len(i.weights))
	for model, versions := range i.weights {
		wanted[model] = versions[len(versions)-1]
	}
	return wanted
}

// Entry returns what is known of a key.
func (i *Informer) Entry(key string) (storer.Entry, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, r := range i.replicas {
		if entry, ok := r.entries[key]; ok {
			return entry, true
		}
	}
	return storer.Entry{}, false
}
