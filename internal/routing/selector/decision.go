package selector

import "time"

// MaxCosts is the largest number of candidates whose costs a decision lists.
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
	// Policy is the name of the policy that decided.
	Policy string `json:"policy"`
	// Chosen is the name of the upstream, empty where there is none.
	Chosen string `json:"chosen"`
	// Reason says in a few words why it was chosen.
	Reason string `json:"reason"`
	// Costs lists the cheapest candidates, the cheapest first, and the chosen
	// one; at most MaxCosts of them.
	Costs []Cost `json:"costs"`
	// Considered is the number of candidates whose costs were compared. Other
	// regions are not priced where the own one cannot lose to them.
	Considered int `json:"considered"`
	// Suspects is the number of candidates left out as suspect.
	Suspects int `json:"suspects"`
	// Missing is the number of blocks the chosen upstream has to compute.
	Missing int `json:"missing"`
	// HeldElsewhere is the number of missing blocks that another live
	// candidate holds.
	HeldElsewhere int `json:"held_elsewhere"`
	// Crossing is true where the chosen upstream is in another region.
	Crossing bool `json:"crossing"`
}

// Wait returns the wait that was expected of the chosen upstream.
func (d Decision) Wait() time.Duration {
	for _, cost := range d.Costs {
		if cost.Name == d.Chosen {
			return cost.Wait
		}
	}
	return 0
}
