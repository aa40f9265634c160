package informer

import (
	"errors"
	"math"
	"time"
)

// WeightsAge is how long ago a version of a model's weights became the desired one, as
// another VM knows it. It is an age since the clocks of VMs differ.
type WeightsAge struct {
	Model     string `cbor:"1,keyasint"`
	Version   uint64 `cbor:"2,keyasint"`
	AgeMillis int64  `cbor:"3,keyasint"`
}

// Check returns an error for an age that no VM sends.
func (a WeightsAge) Check() error {
	if a.Model == "" || a.Version == 0 {
		return errors.New("weights age: model or version is missing")
	}
	if a.AgeMillis < 0 || a.AgeMillis > math.MaxInt64/int64(time.Millisecond) {
		return errors.New("weights age: age is out of range")
	}
	return nil
}

// weightsVersion is a version of a model's weights.
type weightsVersion struct {
	model   string
	version uint64
}

// Names of the senders of changes.
const (
	sourceStore = "store"
	sourceRelay = "relay"
	sourceVM    = "vm"
)

// origin describes where the changes that are being applied come from.
type origin struct {
	source string
	// first is true if this VM had no operators' entries before.
	first bool
	// earliest is the earliest time from which the changes may have been in the store.
	earliest time.Time
	// contact is when the operators' entries were last known to be complete before.
	contact time.Time
}

// HandleCall implements follower.Sink.
func (i *Informer) HandleCall(now time.Time, prefix string, wait time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.calledAt[prefix] = now
	if prefix == i.cfg.OperatorPrefix {
		i.handleTick(now)
		i.confirmation.handleCall(now, wait)
	}
}

// handleTick records that the process runs. The caller must hold i.mu.
func (i *Informer) handleTick(now time.Time) {
	stopped := i.confirmation.handleTick(now)
	if stopped == 0 {
		return
	}
	for model, versions := range i.weights {
		shifted := append([]Weights(nil), versions...)
		for n := range shifted {
			shifted[n].Since = shifted[n].Since.Add(-stopped)
		}
		i.weights[model] = shifted
	}
	i.announceWeights()
}

// announceWeights tells that the desired weights or their times have changed.
func (i *Informer) announceWeights() {
	if i.cfg.OnWeights != nil {
		i.cfg.OnWeights()
	}
}

// recordOrigin records the origin of the changes that follow. The caller must hold i.mu.
func (i *Informer) recordOrigin(now time.Time, prefix, source string, completeAt time.Time) {
	if prefix == i.cfg.UpstreamPrefix {
		i.upstreamSource = source
	}
	if prefix != i.cfg.OperatorPrefix {
		return
	}
	i.handleTick(now)
	i.origin = origin{source: source, first: i.snapshots[prefix] == 0, contact: i.confirmation.at}
	if source == sourceStore {
		i.origin.earliest = i.confirmation.handleResponse(now)
	} else {
		i.origin.earliest = i.confirmation.handleUpdate(now, completeAt)
	}
}

// weightsSince returns when a version that this VM has just learned of became the desired
// one, and whether that is known or undisturbed rather than assumed.
func (i *Informer) weightsSince(now time.Time, v weightsVersion) (since time.Time, known bool) {
	// A version is not assumed to be older than at a start: engines need time to load it.
	oldest := now.Add(-i.cfg.InitialWeightsAge)
	told, ok := i.toldSince[v]
	switch {
	case ok && i.origin.source == sourceRelay && i.confirmation.isBacklog(now):
		return earliest(told, latest(i.confirmation.suspendedFrom, oldest)), false
	case ok && i.origin.source != sourceStore:
		return told, true
	case i.origin.first:
		return i.cfg.Started.Add(-i.cfg.InitialWeightsAge), false
	}
	return latest(i.origin.earliest, oldest), i.origin.earliest.Equal(now)
}

// overwritten returns the version that may have become the desired one, and was replaced
// by a version that became it at since, before this VM learned of either.
func (i *Informer) overwritten(now time.Time, known []Weights, version uint64, since time.Time) (Weights, bool) {
	if len(known) == 0 || version-known[len(known)-1].Version < 2 {
		return Weights{}, false
	}
	from := latest(i.origin.earliest, now.Add(-i.cfg.InitialWeightsAge))
	return Weights{Version: version - 1, Since: from}, from.Before(since)
}

// WeightsAges returns the age of the desired version of each model, where it is known.
func (i *Informer) WeightsAges(now time.Time) []WeightsAge {
	i.mu.Lock()
	defer i.mu.Unlock()
	var ages []WeightsAge
	for model, versions := range i.weights {
		if newest := versions[len(versions)-1]; newest.known {
			ages = append(ages, WeightsAge{Model: model, Version: newest.Version, AgeMillis: max(now.Sub(newest.Since).Milliseconds(), 0)})
		}
	}
	return ages
}

// UpdateAges returns WeightsAges if the updates change operators' entries.
func (i *Informer) UpdateAges(now time.Time, updates []Update) []WeightsAge {
	for _, u := range updates {
		if u.Prefix == i.cfg.OperatorPrefix && len(u.Changes) > 0 {
			return i.WeightsAges(now)
		}
	}
	return nil
}

// RecordWeightsAges records the ages that another VM sends along with changes. They
// apply to versions that this VM does not know yet.
func (i *Informer) RecordWeightsAges(now time.Time, ages []WeightsAge) {
	i.mu.Lock()
	defer i.mu.Unlock()
	clear(i.toldSince)
	for _, a := range ages {
		i.toldSince[weightsVersion{a.Model, a.Version}] = now.Add(-time.Duration(a.AgeMillis) * time.Millisecond)
	}
}

// ContactAge returns the time since the store last confirmed the operators' entries, or
// false if it has not yet.
func (i *Informer) ContactAge(now time.Time) (time.Duration, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.age(now, i.cfg.OperatorPrefix), !i.lastResponseAt[i.cfg.OperatorPrefix].IsZero()
}

// RecordPeerContact records the time since the store last confirmed the operators'
// entries of another VM, whose newer entries have been applied. If it is at least
// unserved, the store serves neither VM, and nothing has become desired meanwhile.
func (i *Informer) RecordPeerContact(now time.Time, age, unserved time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.snapshots[i.cfg.OperatorPrefix] == 0 {
		return
	}
	i.handleTick(now)
	completeAt := now.Add(-age)
	if age >= unserved {
		completeAt = now
	}
	i.confirmation.handleUpdate(now, completeAt)
}
