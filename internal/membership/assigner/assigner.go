// Package assigner decides which controller owns what: the event stream of an
// upstream, the index of a family of prefixes, the sum of an organisation's
// use. Every node that sees the same members decides the same without asking
// anyone. It does no I/O and reads no clock.
package assigner

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

const (
	// settle is how long a controller that is new or came back has to stay
	// before it owns anything.
	settle = 10 * time.Second
	// handover is how long the former owner goes on answering beside the new one.
	handover = 30 * time.Second
)

// Controller is a controller that may own something.
type Controller struct {
	Name        string
	Region      string
	Incarnation uint64
	// Leaving takes it out at once.
	Leaving bool
}

// Assigner keeps the controllers that may own something. It is used by one
// goroutine at a time.
type Assigner struct {
	self   string
	joined map[string]joined
	// startedUntil is the end of the time in which the others that turn up are
	// taken to have been there before.
	startedUntil time.Time
	rings        map[string]*rendezvous.Rendezvous
	all          *rendezvous.Rendezvous
	owners       []string
	// nextAt is when the next controller has settled; zero where all have.
	nextAt time.Time
}

// joined is a controller with the time from which it may own something.
type joined struct {
	Controller
	ownsFrom time.Time
}

// Config holds what an Assigner is built from.
type Config struct {
	// Self is the name of the controller that decides.
	Self string
}

// New returns an Assigner without controllers.
func New(now time.Time, cfg Config) *Assigner {
	return &Assigner{
		self:         cfg.Self,
		joined:       make(map[string]joined),
		startedUntil: now.Add(settle),
	}
}

// SetMembers takes the controllers that are alive, suspect or leaving; the
// dead are left out of the list. It reports whether ownership may have moved.
func (a *Assigner) SetMembers(now time.Time, controllers []Controller) bool {
	next := make(map[string]joined, len(controllers))
	for _, c := range controllers {
		if c.Leaving {
			continue
		}
		next[c.Name] = joined{Controller: c, ownsFrom: a.ownsFrom(now, c)}
	}
	a.joined = next
	return a.Tick(now)
}

// ownsFrom returns when a controller may own something. A restart loses what
// it knew and has to settle again, and so does the controller that decides:
// right after its start it knows too few others to know what is its own.
func (a *Assigner) ownsFrom(now time.Time, c Controller) time.Time {
	was, ok := a.joined[c.Name]
	if ok && was.Incarnation == c.Incarnation {
		return was.ownsFrom
	}
	if c.Name != a.self && now.Before(a.startedUntil) {
		return now
	}
	return now.Add(settle)
}

// Tick lets controllers in that have settled. It reports whether ownership
// may have moved.
func (a *Assigner) Tick(now time.Time) bool {
	a.nextAt = time.Time{}
	var settled []joined
	for _, j := range a.joined {
		if !j.ownsFrom.After(now) {
			settled = append(settled, j)
			continue
		}
		if a.nextAt.IsZero() || j.ownsFrom.Before(a.nextAt) {
			a.nextAt = j.ownsFrom
		}
	}
	slices.SortFunc(settled, func(x, y joined) int { return strings.Compare(x.Name, y.Name) })
	return a.rebuild(settled)
}

// NextDeadline returns when Tick is due next, zero for never.
func (a *Assigner) NextDeadline() time.Time { return a.nextAt }

func (a *Assigner) rebuild(settled []joined) bool {
	names := make([]string, 0, len(settled))
	regions := make(map[string][]string)
	for _, j := range settled {
		names = append(names, j.Name)
		regions[j.Region] = append(regions[j.Region], j.Name)
	}
	if slices.Equal(names, a.owners) && a.all != nil {
		return false
	}
	a.owners = names
	a.all = rendezvous.New(names, xxhash.Sum64String)
	a.rings = make(map[string]*rendezvous.Rendezvous, len(regions))
	for region, members := range regions {
		a.rings[region] = rendezvous.New(members, xxhash.Sum64String)
	}
	return true
}

// OwnerOfUpstream returns the controller that reads an upstream's events: one
// of its region, or of any where the region has none. It is empty while
// nobody can own anything.
func (a *Assigner) OwnerOfUpstream(upstream, region string) string {
	ring, ok := a.rings[region]
	if !ok {
		ring = a.all
	}
	return lookup(ring, "upstream/"+upstream)
}

// OwnerOfFamily returns the controller that indexes a family of prefixes.
func (a *Assigner) OwnerOfFamily(family string) string {
	return lookup(a.all, "family/"+family)
}

// OwnerOfOrganisation returns the controller that sums an organisation's use.
func (a *Assigner) OwnerOfOrganisation(organisation string) string {
	return lookup(a.all, "organisation/"+organisation)
}

func lookup(ring *rendezvous.Rendezvous, key string) string {
	if ring == nil {
		return ""
	}
	return ring.Lookup(key)
}
