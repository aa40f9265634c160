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
		i.line("peer_news").WithFields(logrus.Fields{
			"prefix":      offered.Prefix,
			fieldRevision: offered.Revision,
			"changes":     len(changes),
		}).Info("another VM knew more")
	}
	i.take(now, offered.Prefix, changes)
	i.snapshots[offered.Prefix]++
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
