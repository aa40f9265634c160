package registrar

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// returnGrace is how long an entry may be missing after the store's return
// before its upstream counts as gone. The platform gives live upstreams about
// two seconds to register again.
const returnGrace = 2 * time.Second

// Event is one change of what is known of an upstream.
type Event string

// Events of upstreams.
const (
	Joined    Event = "upstream_joined"
	Left      Event = "upstream_leaving"
	Gone      Event = "upstream_gone"
	Restarted Event = "upstream_restarted"
	Missing   Event = "upstream_missing"
)

// News is an event of one upstream.
type News struct {
	Event    Event
	Upstream *Upstream
}

// record is an upstream and, where its entry is missing, when it counts as gone.
type record struct {
	upstream *Upstream
	goneAt   time.Time
}

// Registrar keeps the upstreams of a deployment. It is used by one goroutine
// at a time.
type Registrar struct {
	records map[string]*record
	// unsureUntil ends the time in which missing entries are still expected.
	unsureUntil time.Time
	byService   map[string][]*Upstream
}

// New returns a Registrar without upstreams.
func New() *Registrar {
	return &Registrar{records: make(map[string]*record), byService: make(map[string][]*Upstream)}
}

// StoreReturned notes that the store answers again after an outage, in which
// entries of live upstreams may have lapsed.
func (r *Registrar) StoreReturned(now time.Time) {
	r.unsureUntil = now.Add(returnGrace)
}

// Put takes a new or changed entry.
func (r *Registrar) Put(u *Upstream) []News {
	news := r.put(u)
	r.index()
	return news
}

// Remove takes the removal of an entry.
func (r *Registrar) Remove(now time.Time, id string) []News {
	news := r.miss(now, id)
	r.index()
	return news
}

// Expire drops upstreams whose entries have been missing for too long.
func (r *Registrar) Expire(now time.Time) []News {
	var news []News
	for id, rec := range r.records {
		if !rec.goneAt.IsZero() && !now.Before(rec.goneAt) {
			delete(r.records, id)
			news = append(news, News{Gone, rec.upstream})
		}
	}
	if len(news) > 0 {
		r.index()
	}
	return news
}

// Usable returns the upstreams of a service that may get new work, in order of
// their IDs. The list must not be changed.
func (r *Registrar) Usable(service string) []*Upstream { return r.byService[service] }

// All returns every known upstream in no particular order.
func (r *Registrar) All() []*Upstream {
	all := make([]*Upstream, 0, len(r.records))
	for _, rec := range r.records {
		all = append(all, rec.upstream)
	}
	return all
}

func (r *Registrar) put(u *Upstream) []News {
	rec, known := r.records[u.ID]
	if !known {
		r.records[u.ID] = &record{upstream: u}
		return []News{{Joined, u}}
	}
	before := rec.upstream
	rec.upstream, rec.goneAt = u, time.Time{}
	switch {
	case !before.SameRun(u):
		return []News{{Restarted, u}}
	case u.Leaving && !before.Leaving:
		return []News{{Left, u}}
	}
	return nil
}

// miss notes a missing entry. Soon after an outage of the store it may only
// have lapsed.
func (r *Registrar) miss(now time.Time, id string) []News {
	rec, known := r.records[id]
	if !known || !rec.goneAt.IsZero() {
		return nil
	}
	if !now.Before(r.unsureUntil) || rec.upstream.Leaving {
		delete(r.records, id)
		return []News{{Gone, rec.upstream}}
	}
	rec.goneAt = r.unsureUntil
	return []News{{Missing, rec.upstream}}
}

// index lists the usable upstreams of each service anew, so that readers of
// the old lists are not disturbed.
func (r *Registrar) index() {
	byService := make(map[string][]*Upstream)
	for _, id := range slices.Sorted(maps.Keys(r.records)) {
		u := r.records[id].upstream
		if !u.Leaving {
			byService[u.Service] = append(byService[u.Service], u)
		}
	}
	for service := range byService {
		slices.SortFunc(byService[service], func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	r.byService = byService
}
