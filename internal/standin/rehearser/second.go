package rehearser

// Second holds the benefit of the requests that arrived in one second. MaxBenefit is
// the benefit if all responses were in time.
type Second struct {
	MaxBenefit float64 `json:"owed"`
	Benefit    float64 `json:"earned"`
	// Requests counts the requests, InTime those with a response in time.
	Requests int `json:"requests"`
	InTime   int `json:"in_time"`
}

// Share returns the ratio of Benefit to MaxBenefit, or 1 if MaxBenefit is zero.
func (s Second) Share() float64 {
	if s.MaxBenefit == 0 {
		return 1
	}
	return s.Benefit / s.MaxBenefit
}
