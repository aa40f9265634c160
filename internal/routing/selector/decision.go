package selector

import "time"

// MaxCosts is the maximum number of entries in Decision.Costs.
const MaxCosts = 8

// Reasons of a decision.
const (
	ReasonNoCandidate  = "no_candidate"
	ReasonNextInTurn   = "next_in_turn"
	ReasonLeastLoaded  = "least_loaded"
	ReasonPrefixHome   = "prefix_home"
	ReasonHomeOverflow = "home_overflow"
	ReasonLowestCost   = "lowest_cost"
	ReasonNearEqual    = "near_equal"
)

// Decision is the outcome of a selection.
type Decision struct {
	// Policy is the name of the policy that made the decision.
	Policy string `json:"policy"`
	// Chosen is the name of the chosen upstream, empty if there is no candidate.
	Chosen string `json:"chosen"`
	// Reason is one of the Reason constants.
	Reason string `json:"reason"`
	// Costs lists the chosen candidate and the cheapest others, at most MaxCosts
	// in total, in ascending order of Total.
	Costs []Cost `json:"costs"`
	// Considered is the number of candidates whose costs were computed, or of
	// those in the rotation for round robin. Candidates in other regions are not
	// counted if none of them could be cheaper than the local region.
	Considered int `json:"considered"`
	// Suspects is the number of candidates excluded as suspect.
	Suspects int `json:"suspects"`
	// MissingBlocks is the number of blocks that the chosen upstream has to compute.
	MissingBlocks int `json:"missing"`
	// HeldElsewhere is the number of missing blocks that another eligible
	// candidate in the router's region holds.
	HeldElsewhere int `json:"held_elsewhere"`
	// CrossRegion is true if the chosen upstream is in another region than the router.
	CrossRegion bool `json:"crossing"`
}

// Wait returns the estimated queueing time at the chosen upstream, or 0 if its
// cost is not listed.
func (d Decision) Wait() time.Duration {
	for _, cost := range d.Costs {
		if cost.Name == d.Chosen {
			return cost.Wait
		}
	}
	return 0
}
