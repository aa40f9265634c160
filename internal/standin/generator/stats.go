package generator

// Stats holds the counters of an engine since its start.
type Stats struct {
	Requests     int `json:"requests"`
	PromptBlocks int `json:"prompt_blocks"`
	CachedBlocks int `json:"cached_blocks"`
	// RecomputedBlocks counts the blocks that were computed although another
	// running engine held them.
	RecomputedBlocks int `json:"recomputed_blocks"`
	// ImportedBlocks and ExportedBlocks count the blocks received from and sent
	// to the external cache store.
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
