package informer

import (
	"context"
	"slices"
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
	// RetainPrefix is the prefix of the VMs' own entries, and RetainFor the time within
	// which VMs write them again if a restored store lacks them.
	RetainPrefix string
	RetainFor    time.Duration
	// OnWeights, if not nil, is called when the desired versions of weights or the times
	// from which they count have changed. It must not block.
	OnWeights func()
	// OnConfiguration, if not nil, is called when a configuration has come into force. It
	// must not block.
	OnConfiguration func()
	// OnRestore, if not nil, is called for each prefix in which an era of the store starts.
	OnRestore func(prefix string)
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
	retained retainedVMs
	// snapshots counts the complete lists applied per prefix.
	snapshots map[string]int
	registrar *registrar.Registrar
	// ignored holds the keys of the entries that name no upstream.
	ignored map[string]bool
	// weights holds the desired versions of each model in ascending order.
	weights map[string][]Weights
	// confirmation tracks until when the operators' entries are known to be complete.
	confirmation confirmation
	// origin is that of the operators' changes that are being applied.
	origin origin
	// upstreamSource is the sender of the upstreams' changes that are being applied.
	upstreamSource string
	// toldSince is when versions became the desired ones as another VM told last.
	toldSince map[weightsVersion]time.Time
	// lastResponseAt is when the last successful call for each prefix returned.
	lastResponseAt map[string]time.Time
	// calledAt is when the last call for each prefix was sent, and failedCallAt when the
	// last one that failed was.
	calledAt     map[string]time.Time
	failedCallAt map[string]time.Time
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
		ignored:        make(map[string]bool),
		weights:        make(map[string][]Weights),
		confirmation:   confirmation{readStopped: cfg.Suspended},
		toldSince:      make(map[weightsVersion]time.Time),
		lastResponseAt: make(map[string]time.Time),
		calledAt:       make(map[string]time.Time),
		failedCallAt:   make(map[string]time.Time),
		failing:        make(map[string]bool),
		recoveredAt:    make(map[string]time.Time),
		changed:        make(chan struct{}),
	}
	if cfg.Suspended == nil {
		i.confirmation.readStopped = func() time.Duration { return 0 }
	}
	for _, prefix := range i.prefixes() {
		i.replicas[prefix] = newReplica(nil)
	}
	i.replicas[cfg.UpstreamPrefix] = newReplica(i.namesUpstream)
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
			i.logUpstreamEvents(i.registrar.Expire(now), nil)
			if i.retained.expire(now) {
				i.announceChange()
			}
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

// Replace implements follower.Sink.
func (i *Informer) Replace(now time.Time, prefix string, entries []storer.Entry, version storer.Version) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.recordResponse(now, prefix)
	i.update(now, prefix, version, func(r *replica) []storer.Change { return r.replace(entries, version) })
	i.snapshots[prefix]++
	i.announceChange()
}

// Apply implements follower.Sink.
func (i *Informer) Apply(now time.Time, prefix string, changes []storer.Change, version storer.Version) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.recordResponse(now, prefix)
	i.update(now, prefix, version, func(r *replica) []storer.Change { return r.apply(changes, version) })
	if len(changes) > 0 {
		i.announceChange()
	}
}

// NewerReplicas returns the replicas whose version is after the given one of their
// prefix.
func (i *Informer) NewerReplicas(versions Versions) []Replica {
	i.mu.Lock()
	defer i.mu.Unlock()
	var newer []Replica
	for _, prefix := range i.prefixes() {
		r := i.replicas[prefix]
		if r.version.After(versions[prefix]) {
			newer = append(newer, r.snapshot(prefix))
		}
	}
	return newer
}

// Versions returns the version of each prefix's replica.
func (i *Informer) Versions() Versions {
	i.mu.Lock()
	defer i.mu.Unlock()
	versions := make(Versions)
	for prefix, r := range i.replicas {
		versions[prefix] = r.version
	}
	return versions
}

// ApplyReplica applies a replica received from another VM if its version is
// after that of the local replica.
func (i *Informer) ApplyReplica(now time.Time, offered Replica) {
	i.mu.Lock()
	defer i.mu.Unlock()
	r, ok := i.replicas[offered.Prefix]
	if !ok || !offered.Version().After(r.version) {
		return
	}
	i.recordOrigin(now, offered.Prefix, sourceVM, time.Time{})
	changes := i.update(now, offered.Prefix, offered.Version(), func(r *replica) []storer.Change {
		return r.replace(offered.Entries, offered.Version())
	})
	if len(changes) > 0 {
		i.logEvent("peer_news").WithFields(logrus.Fields{
			"prefix":      offered.Prefix,
			fieldEra:      offered.Era,
			fieldRevision: offered.Revision,
			"changes":     len(changes),
		}).Info("applied a newer replica from another VM")
	}
	i.snapshots[offered.Prefix]++
	i.announceChange()
}

// Version returns the version of a prefix's replica.
func (i *Informer) Version(prefix string) storer.Version {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.replicas[prefix].version
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

// Upstreams returns the upstreams of all services that accept new requests.
func (i *Informer) Upstreams() []*registrar.Upstream {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.DeleteFunc(i.registrar.All(), func(u *registrar.Upstream) bool { return u.Leaving })
}

// Engines returns the upstreams that serve models and accept new requests.
func (i *Informer) Engines() []*registrar.Upstream {
	return slices.DeleteFunc(i.Upstreams(), func(u *registrar.Upstream) bool { return len(u.Weights) == 0 })
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
