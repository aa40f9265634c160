package generator

// Stats are an engine's counters since its start.
type Stats struct {
	Requests     int `json:"requests"`
	PromptBlocks int `json:"prompt_blocks"`
	CachedBlocks int `json:"cached_blocks"`
	// RecomputedBlocks were computed although another live engine held them.
	RecomputedBlocks int `json:"recomputed_blocks"`
	Cancelled        int `json:"cancelled"`
}

// Add returns the sum of two sets of counters.
func (s Stats) Add(o Stats) Stats {
	return Stats{
		Requests:         s.Requests + o.Requests,
		PromptBlocks:     s.PromptBlocks + o.PromptBlocks,
		CachedBlocks:     s.CachedBlocks + o.CachedBlocks,
		RecomputedBlocks: s.RecomputedBlocks + o.RecomputedBlocks,
		Cancelled:        s.Cancelled + o.Cancelled,
	}
}
