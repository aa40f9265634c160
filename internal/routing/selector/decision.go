package selector

import "time"

// Cost is one candidate's estimated cost, split into its parts.
type Cost struct {
	Name      string        `json:"name"`
	Wait      time.Duration `json:"wait"`
	Prefill   time.Duration `json:"prefill"`
	Distance  time.Duration `json:"distance"`
	Recompute time.Duration `json:"recompute"`
	Crossing  time.Duration `json:"crossing"`
	Total     time.Duration `json:"total"`
}

// Decision is the outcome of a selection.
type Decision struct {
	// Chosen is the name of the upstream, empty where there is none.
	Chosen string `json:"chosen"`
	// Reason says in a few words why it was chosen.
	Reason string `json:"reason"`
	// Costs lists every candidate that was considered.
	Costs []Cost `json:"costs"`
	// Missing is the number of blocks the chosen upstream has to compute.
	Missing int `json:"missing"`
}
