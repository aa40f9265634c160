package selector

import "time"

// Policy names in the configuration bundle.
const (
	nameRoundRobin  = "round_robin"
	nameLeastLoaded = "least_loaded"
	namePrefixHash  = "prefix_hash"
	namePrefixCost  = "prefix_cost"
)

// Policy chooses one of the candidates of a request. A policy may keep soft state
// and is not safe for concurrent use.
type Policy interface {
	// Name returns the name of the policy in the configuration bundle.
	Name() string
	// Select chooses one of candidates. Implementations must not retain the slice.
	Select(now time.Time, r Request, candidates []Candidate) Decision
}
