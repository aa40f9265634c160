package selector

import "time"

// Cost is the estimated cost of one candidate. Total is the sum of the other
// durations.
type Cost struct {
	Name      string        `json:"name"`
	Wait      time.Duration `json:"wait"`
	Prefill   time.Duration `json:"prefill"`
	Distance  time.Duration `json:"distance"`
	Recompute time.Duration `json:"recompute"`
	Crossing  time.Duration `json:"crossing"`
	Total     time.Duration `json:"total"`
}
