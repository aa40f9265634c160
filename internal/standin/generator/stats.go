package generator

// Stats are an engine's counters since its start.
type Stats struct {
	Requests     int `json:"requests"`
	PromptBlocks int `json:"prompt_blocks"`
	CachedBlocks int `json:"cached_blocks"`
	Cancelled    int `json:"cancelled"`
}
