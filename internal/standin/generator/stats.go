package generator

// Stats are an engine's counters since its start.
type Stats struct {
	Requests     int `json:"requests"`
	PromptBlocks int `json:"prompt_blocks"`
	CachedBlocks int `json:"cached_blocks"`
	// RecomputedBlocks were computed although another live engine held them.
	RecomputedBlocks int `json:"recomputed_blocks"`
	// ImportedBlocks came from the store of kept cache, ExportedBlocks went to it.
	ImportedBlocks int `json:"imported_blocks"`
	ExportedBlocks int `json:"exported_blocks"`
	Cancelled      int `json:"cancelled"`
}

// Add returns the sum of two sets of counters.
func (s Stats) Add(o Stats) Stats {
	return Stats{
		Requests:         s.Requests + o.Requests,
		PromptBlocks:     s.PromptBlocks + o.PromptBlocks,
		CachedBlocks:     s.CachedBlocks + o.CachedBlocks,
		RecomputedBlocks: s.RecomputedBlocks + o.RecomputedBlocks,
		ImportedBlocks:   s.ImportedBlocks + o.ImportedBlocks,
		ExportedBlocks:   s.ExportedBlocks + o.ExportedBlocks,
		Cancelled:        s.Cancelled + o.Cancelled,
	}
}
