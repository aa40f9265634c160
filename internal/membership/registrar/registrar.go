package registrar

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// recoveryGrace is how long after the store's recovery a missing entry does not
// yet remove its upstream. Live upstreams whose entries expired during the
// outage register again within about two seconds.
const recoveryGrace = 2 * time.Second

// maxGone bounds the removed upstreams that are remembered.
const maxGone = 1024

// EventType is a kind of change of an upstream. Its values are logged.
type EventType string

// Types of events.
const (
	Joined EventType = "upstream_joined"
	// Leaving means that the upstream is draining and accepts no new requests.
	Leaving   EventType = "upstream_leaving"
	Gone      EventType = "upstream_gone"
	Restarted EventType = "upstream_restarted"
	// Missing means that the entry is gone but the upstream is kept until the
	// grace period after the store's recovery ends.
	Missing EventType = "upstream_missing"
)

// Event is a change of one upstream.
type Event struct {
	Type     EventType
	Upstream *Upstream
}

// record is a registered upstream.
type record struct {
	upstream *Upstream
	// removeAt is when the upstream is removed if its entry is still missing,
	// or zero if the entry exists.
	removeAt time.Time
}

// Registrar holds the registered upstreams of a deployment. It is not safe for
// concurrent use.
type Registrar struct {
	records map[string]*record
	// gone holds the last state of upstreams that were removed.
	gone *simplelru.LRU[string, *Upstream]
	// graceUntil is the end of the grace period after the store's recovery, in
	// which live upstreams may still have to register again.
	graceUntil time.Time
	// named reports whether the configuration names a service, nil if there is none yet.
	named func(service string) bool
	// nextStartAt is the earliest start that the index does not take account of because it
	// is yet to come, or zero.
	nextStartAt time.Time
	// byService lists the usable upstreams of each service in order of their IDs.
	byService map[string][]*Upstream
}

// New returns an empty Registrar.
func New() *Registrar {
	gone, err := simplelru.NewLRU[string, *Upstream](maxGone, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	return &Registrar{records: make(map[string]*record), gone: gone, byService: make(map[string][]*Upstream)}
}

// HandleStoreRecovery starts the grace period for missing entries. During the
// outage that ended, the entries of live upstreams may have expired.
func (r *Registrar) HandleStoreRecovery(now time.Time) {
	r.graceUntil = now.Add(recoveryGrace)
}

// SetServices sets which services the configuration names. The entry of an upstream of
// another service names no upstream to use, and does not show that another one has ended.
func (r *Registrar) SetServices(now time.Time, named func(service string) bool) {
	r.named = named
	r.rebuildIndex(now)
}

// Put adds or updates an upstream and returns the resulting events. A process that leaves
// does not become ready again: a restored store repeats the writes before that.
func (r *Registrar) Put(now time.Time, u *Upstream) []Event {
	if r.hasLeft(u) {
		leaving := *u
		leaving.Leaving = true
		u = &leaving
	}
	events := r.upsert(u)
	r.rebuildIndex(now)
	return events
}

// hasLeft reports whether the last entry of the same process showed it leaving.
func (r *Registrar) hasLeft(u *Upstream) bool {
	if u.StartedAt.IsZero() {
		return false // a later process cannot be distinguished
	}
	known, ok := r.gone.Get(u.ID)
	if rec, registered := r.records[u.ID]; registered {
		known, ok = rec.upstream, true
	}
	return ok && known.Leaving && u.SameProcess(known)
}

// PutRestored is Put for an entry that the store may have restored from a copy which is
// older than what is known. It does not show that a process which left is back; a later
// write of a live process does.
func (r *Registrar) PutRestored(now time.Time, u *Upstream) []Event {
	if rec, ok := r.records[u.ID]; ok {
		if u.supersedes(rec.upstream) {
			return r.Put(now, u)
		}
		rec.removeAt = time.Time{}
		return nil
	}
	if gone, ok := r.gone.Get(u.ID); ok && !u.follows(gone) {
		return nil
	}
	return r.Put(now, u)
}

// Remove handles the removal of an upstream's entry and returns the resulting
// events.
func (r *Registrar) Remove(now time.Time, id string) []Event {
	events := r.markMissing(now, id)
	r.rebuildIndex(now)
	return events
}

// Expire removes the upstreams whose entries are still missing at the end of the
// grace period.
func (r *Registrar) Expire(now time.Time) []Event {
	var events []Event
	for id, rec := range r.records {
		if !rec.removeAt.IsZero() && !now.Before(rec.removeAt) {
			r.remove(id, rec)
			events = append(events, Event{Gone, rec.upstream})
		}
	}
	if len(events) > 0 || !r.nextStartAt.IsZero() && !now.Before(r.nextStartAt) {
		r.rebuildIndex(now)
	}
	return events
}

// Usable returns the upstreams of a service that accept new requests, in order
// of their IDs. The returned slice must not be modified.
func (r *Registrar) Usable(service string) []*Upstream { return r.byService[service] }

// All returns all upstreams of named services in no particular order.
func (r *Registrar) All() []*Upstream {
	all := make([]*Upstream, 0, len(r.records))
	for _, rec := range r.records {
		if r.isNamed(rec.upstream) {
			all = append(all, rec.upstream)
		}
	}
	return all
}

// isNamed reports whether the configuration names the service of u, or is not known yet.
func (r *Registrar) isNamed(u *Upstream) bool { return r.named == nil || r.named(u.Service) }

func (r *Registrar) upsert(u *Upstream) []Event {
	rec, ok := r.records[u.ID]
	if !ok {
		r.records[u.ID] = &record{upstream: u}
		return []Event{{Joined, u}}
	}
	previous := rec.upstream
	rec.upstream, rec.removeAt = u, time.Time{}
	switch {
	case !previous.SameProcess(u):
		return []Event{{Restarted, u}}
	case u.Leaving && !previous.Leaving:
		return []Event{{Leaving, u}}
	}
	return nil
}

// markMissing removes an upstream whose entry is gone, unless the store has just
// recovered from an outage during which the entry may have expired: a live
// upstream then stays until the end of the grace period.
func (r *Registrar) markMissing(now time.Time, id string) []Event {
	rec, ok := r.records[id]
	if !ok || !rec.removeAt.IsZero() {
		return nil
	}
	if !now.Before(r.graceUntil) || rec.upstream.Leaving {
		r.remove(id, rec)
		return []Event{{Gone, rec.upstream}}
	}
	rec.removeAt = r.graceUntil
	return []Event{{Missing, rec.upstream}}
}

func (r *Registrar) remove(id string, rec *record) {
	delete(r.records, id)
	r.gone.Add(id, rec.upstream)
}

// newestStarts returns the latest start time of the upstreams at each address. A start that
// is yet to come shows no process that has started there: another clock may be ahead, or
// another writer wrote it.
func (r *Registrar) newestStarts(now time.Time) map[netip.AddrPort]time.Time {
	newest := make(map[netip.AddrPort]time.Time, len(r.records))
	r.nextStartAt = time.Time{}
	for _, rec := range r.records {
		u := rec.upstream
		switch {
		case !r.isNamed(u):
		case u.StartedAt.After(now):
			if r.nextStartAt.IsZero() || u.StartedAt.Before(r.nextStartAt) {
				r.nextStartAt = u.StartedAt
			}
		case u.StartedAt.After(newest[u.Address]):
			newest[u.Address] = u.StartedAt
		}
	}
	return newest
}

// rebuildIndex builds new lists of the usable upstreams of each service. The old
// lists are not modified because callers of Usable may still read them.
func (r *Registrar) rebuildIndex(now time.Time) {
	byService := make(map[string][]*Upstream)
	newest := r.newestStarts(now)
	for _, id := range slices.Sorted(maps.Keys(r.records)) {
		u := r.records[id].upstream
		if !u.Leaving && r.isNamed(u) && !u.isReplaced(newest[u.Address]) {
			byService[u.Service] = append(byService[u.Service], u)
		}
	}
	for service := range byService {
		slices.SortFunc(byService[service], func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	r.byService = byService
}
