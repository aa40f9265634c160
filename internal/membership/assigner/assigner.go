// Package assigner assigns an owning controller to each event stream of an upstream,
// to each index of a family of prefixes and to each usage sum of an organisation. It
// uses rendezvous hashing, so that all nodes with the same view of the members
// compute the same owners without coordination. It does no I/O and reads no clock.
package assigner

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

const (
	// settlingPeriod is how long a new or returning controller must be a member
	// before it is eligible as an owner.
	settlingPeriod = 10 * time.Second
	// handoverPeriod is how long the previous owner still answers beside the new one.
	handoverPeriod = 30 * time.Second
)

// Controller is a member that may become an owner.
type Controller struct {
	Name        string
	Region      string
	Incarnation uint64
	// Leaving makes the controller ineligible at once.
	Leaving bool
}

// Assigner computes the owners from the eligible controllers. It is not safe for
// concurrent use.
type Assigner struct {
	self       string
	candidates map[string]candidate
	// startupEndsAt is the end of the period after New in which other controllers
	// that join are assumed to have been running before and are eligible at once.
	startupEndsAt time.Time
	// regionHashes holds the hash of the eligible controllers of each region;
	// globalHash has those of all regions.
	regionHashes  map[string]*rendezvous.Rendezvous
	globalHash    *rendezvous.Rendezvous
	eligibleNames []string
	// nextEligibleAt is when the next controller becomes eligible, or zero if all
	// are.
	nextEligibleAt time.Time
}

// candidate is a controller with the time from which it is eligible as an owner.
type candidate struct {
	Controller
	eligibleAt time.Time
}

// Config is the configuration of an Assigner.
type Config struct {
	// Self is the name of the controller that runs the Assigner.
	Self string
}

// New returns an Assigner without controllers.
func New(now time.Time, cfg Config) *Assigner {
	return &Assigner{
		self:          cfg.Self,
		candidates:    make(map[string]candidate),
		startupEndsAt: now.Add(settlingPeriod),
	}
}

// SetMembers replaces the members. The list holds the controllers that are alive,
// suspect or leaving, without the dead ones. It reports whether owners may have
// changed.
func (a *Assigner) SetMembers(now time.Time, controllers []Controller) bool {
	next := make(map[string]candidate, len(controllers))
	for _, c := range controllers {
		if c.Leaving {
			continue
		}
		next[c.Name] = candidate{Controller: c, eligibleAt: a.eligibleAt(now, c)}
	}
	a.candidates = next
	return a.Tick(now)
}

// eligibleAt returns when a controller becomes eligible as an owner. A restarted
// controller has lost its state and must settle again. The controller itself must
// settle as well: right after its start it knows too few other members to compute
// what it owns.
func (a *Assigner) eligibleAt(now time.Time, c Controller) time.Time {
	previous, ok := a.candidates[c.Name]
	if ok && previous.Incarnation == c.Incarnation {
		return previous.eligibleAt
	}
	if c.Name != a.self && now.Before(a.startupEndsAt) {
		return now
	}
	return now.Add(settlingPeriod)
}

// Tick makes controllers eligible that have settled. It reports whether owners may
// have changed.
func (a *Assigner) Tick(now time.Time) bool {
	a.nextEligibleAt = time.Time{}
	var eligible []candidate
	for _, c := range a.candidates {
		if !c.eligibleAt.After(now) {
			eligible = append(eligible, c)
			continue
		}
		if a.nextEligibleAt.IsZero() || c.eligibleAt.Before(a.nextEligibleAt) {
			a.nextEligibleAt = c.eligibleAt
		}
	}
	slices.SortFunc(eligible, func(x, y candidate) int { return strings.Compare(x.Name, y.Name) })
	return a.rebuildHashes(eligible)
}

// NextDeadline returns when Tick is due next, or zero if no controller is settling.
func (a *Assigner) NextDeadline() time.Time { return a.nextEligibleAt }

// rebuildHashes rebuilds the rendezvous hashes unless the names of the eligible
// controllers are unchanged. It reports whether the hashes were rebuilt.
func (a *Assigner) rebuildHashes(eligible []candidate) bool {
	names := make([]string, 0, len(eligible))
	regions := make(map[string][]string)
	for _, c := range eligible {
		names = append(names, c.Name)
		regions[c.Region] = append(regions[c.Region], c.Name)
	}
	if slices.Equal(names, a.eligibleNames) && a.globalHash != nil {
		return false
	}
	a.eligibleNames = names
	a.globalHash = rendezvous.New(names, xxhash.Sum64String)
	a.regionHashes = make(map[string]*rendezvous.Rendezvous, len(regions))
	for region, members := range regions {
		a.regionHashes[region] = rendezvous.New(members, xxhash.Sum64String)
	}
	return true
}

// OwnerOfUpstream returns the name of the controller that reads the events of an
// upstream. It is a controller of the upstream's region, or of any region if that
// region has none. The name is empty if no controller is eligible.
func (a *Assigner) OwnerOfUpstream(upstream, region string) string {
	hash, ok := a.regionHashes[region]
	if !ok {
		hash = a.globalHash
	}
	return lookup(hash, "upstream/"+upstream)
}

// OwnerOfFamily returns the name of the controller that indexes a family of
// prefixes, or an empty name if no controller is eligible.
func (a *Assigner) OwnerOfFamily(family string) string {
	return lookup(a.globalHash, "family/"+family)
}

// OwnerOfOrganisation returns the name of the controller that sums the usage of an
// organisation, or an empty name if no controller is eligible.
func (a *Assigner) OwnerOfOrganisation(organisation string) string {
	return lookup(a.globalHash, "organisation/"+organisation)
}

func lookup(hash *rendezvous.Rendezvous, key string) string {
	if hash == nil {
		return ""
	}
	return hash.Lookup(key)
}
