package selector

import "time"

// Names by which a bundle asks for a policy.
const (
	nameRoundRobin  = "round_robin"
	nameLeastLoaded = "least_loaded"
	namePrefixHash  = "prefix_hash"
	namePrefixCost  = "prefix_cost"
)

// Policy chooses one of the candidates of a request. A policy may keep soft
// state and is used by one goroutine at a time.
type Policy interface {
	// Name returns the name by which a bundle asks for the policy.
	Name() string
	// Select chooses among candidates, which the policy must not keep.
	Select(now time.Time, r Request, candidates []Candidate) Decision
}
