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
