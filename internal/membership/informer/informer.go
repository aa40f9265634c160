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
	// expireInterval is the time between two checks for upstreams whose entries
	// have been missing for too long.
	expireInterval = 250 * time.Millisecond
)

// Config holds the dependencies and settings of an Informer.
type Config struct {
	Codec Codec
	// OperatorPrefix, UpstreamPrefix and VMPrefix are the key prefixes of the
	// entries that operators, upstreams and VMs write.
	OperatorPrefix string
	UpstreamPrefix string
	VMPrefix       string
	// Started is when the process started.
	Started time.Time
	// InitialWeightsAge is the assumed age, at Started, of desired versions that
	// were set before the first snapshot; the store does not tell their real age.
	// It is also the greatest age that is assumed for a version that was learned of
	// after an interruption.
	InitialWeightsAge time.Duration
	// Suspended returns for how long the monotonic clock has stood still since the VM
	// booted. It may return too little at times. If nil, that is unknown.
	Suspended func() time.Duration
	Log       *logrus.Entry
}

// Informer caches the entries under the followed prefixes and the state derived
// from them. It is safe for concurrent use.
type Informer struct {
	cfg     Config
	matcher atomic.Pointer[matcher.Matcher]

	mu       sync.Mutex
	replicas map[string]*replica
	// snapshots counts the complete lists applied per prefix.
	snapshots map[string]int
	registrar *registrar.Registrar
	// weights holds the desired versions of each model in ascending order.
	weights map[string][]Weights
	// confirmation tracks until when the operators' entries are known to be complete.
	confirmation confirmation
	// origin is that of the operators' changes that are being applied.
	origin origin
	// toldSince is when versions became the desired ones as another VM told last.
	toldSince map[weightsVersion]time.Time
	// lastResponseAt is when the last successful call for each prefix returned.
	lastResponseAt map[string]time.Time
	// failing is true for prefixes whose last call failed.
	failing map[string]bool
	// recoveredAt is when the store last became available again for each prefix.
	recoveredAt map[string]time.Time
	// changed is closed and replaced at each change of a replica.
	changed chan struct{}
}

// New returns an Informer with an empty cache.
func New(cfg Config) *Informer {
	i := &Informer{
		cfg:            cfg,
		replicas:       make(map[string]*replica),
		snapshots:      make(map[string]int),
		registrar:      registrar.New(),
		weights:        make(map[string][]Weights),
		confirmation:   confirmation{readStopped: cfg.Suspended},
		toldSince:      make(map[weightsVersion]time.Time),
		lastResponseAt: make(map[string]time.Time),
		failing:        make(map[string]bool),
		recoveredAt:    make(map[string]time.Time),
		changed:        make(chan struct{}),
	}
	if cfg.Suspended == nil {
		i.confirmation.readStopped = func() time.Duration { return 0 }
	}
	for _, prefix := range i.prefixes() {
		i.replicas[prefix] = newReplica()
	}
	return i
}

func (i *Informer) prefixes() []string {
	return []string{i.cfg.OperatorPrefix, i.cfg.UpstreamPrefix, i.cfg.VMPrefix}
}

// Run removes upstreams whose entries have been missing for too long and notices
// suspensions of the process, until ctx is done.
func (i *Informer) Run(ctx context.Context) {
	i.mu.Lock()
	i.confirmation.start(time.Now())
	i.mu.Unlock()
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			i.mu.Lock()
			now := time.Now()
			i.handleTick(now)
			i.logUpstreamEvents(i.registrar.Expire(now))
			i.mu.Unlock()
		}
	}
}

// Matcher returns the matcher of the configuration in force, or nil if there is
// none.
func (i *Informer) Matcher() *matcher.Matcher { return i.matcher.Load() }

// Ready reports whether a configuration is in force and a complete list of
// upstreams has been applied.
func (i *Informer) Ready() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.matcher.Load() != nil && i.snapshots[i.cfg.UpstreamPrefix] > 0
}

// Usable returns the upstreams of a service that accept new requests. The
// returned slice must not be modified.
func (i *Informer) Usable(service string) []*registrar.Upstream {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.registrar.Usable(service)
}

// VMs returns the store entries of the deployment's VMs.
func (i *Informer) VMs() []storer.Entry {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.replicas[i.cfg.VMPrefix].snapshot(i.cfg.VMPrefix).Entries
}

// Replace implements follower.Sink.
func (i *Informer) Replace(now time.Time, prefix string, entries []storer.Entry, revision uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.recordResponse(now, prefix)
	i.applyChanges(now, prefix, i.replicas[prefix].replace(entries, revision))
	i.snapshots[prefix]++
	i.announceChange()
}

// Apply implements follower.Sink.
func (i *Informer) Apply(now time.Time, prefix string, changes []storer.Change, revision uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.recordResponse(now, prefix)
	i.applyChanges(now, prefix, i.replicas[prefix].apply(changes, revision))
	if len(changes) > 0 {
		i.announceChange()
	}
}

// NewerReplicas returns the replicas whose revision is above the given one of
// their prefix.
func (i *Informer) NewerReplicas(revisions map[string]uint64) []Replica {
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

// Revisions returns the revision of each prefix's replica.
func (i *Informer) Revisions() map[string]uint64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	revisions := make(map[string]uint64)
	for prefix, r := range i.replicas {
		revisions[prefix] = r.revision
	}
	return revisions
}

// ApplyReplica applies a replica received from another VM if its revision is
// above that of the local replica.
func (i *Informer) ApplyReplica(now time.Time, offered Replica) {
	i.mu.Lock()
	defer i.mu.Unlock()
	r, ok := i.replicas[offered.Prefix]
	if !ok || offered.Revision <= r.revision {
		return
	}
	i.recordOrigin(now, offered.Prefix, sourceVM, time.Time{})
	changes := r.replace(offered.Entries, offered.Revision)
	if len(changes) > 0 {
		i.logEvent("peer_news").WithFields(logrus.Fields{
			"prefix":      offered.Prefix,
			fieldRevision: offered.Revision,
			"changes":     len(changes),
		}).Info("applied a newer replica from another VM")
	}
	i.applyChanges(now, offered.Prefix, changes)
	i.snapshots[offered.Prefix]++
	i.announceChange()
}

// Revision returns the revision of a prefix's replica.
func (i *Informer) Revision(prefix string) uint64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.replicas[prefix].revision
}

// Changed returns a channel that is closed at the next change of a replica.
func (i *Informer) Changed() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.changed
}

// announceChange closes the channel of Changed. The caller must hold i.mu.
func (i *Informer) announceChange() {
	close(i.changed)
	i.changed = make(chan struct{})
}

// Engines returns the upstreams that serve models and accept new requests.
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

// Entry returns the cached entry of a key.
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

// ChangeCount returns the number of changes of a prefix's replica so far.
func (i *Informer) ChangeCount(prefix string) uint64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.replicas[prefix].log.end()
}
