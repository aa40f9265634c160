package checker

// Policy names the policies in force and their weights.
type Policy struct {
	Selection SelectionPolicy `json:"selection"`
	Admission AdmissionPolicy `json:"admission"`
	Attempts  AttemptPolicy   `json:"attempts"`
	Streams   StreamPolicy    `json:"streams"`
	Placement PlacementPolicy `json:"placement"`
}

// SelectionPolicy steers the choice of an upstream.
type SelectionPolicy struct {
	// Name is round_robin, least_loaded, prefix_hash or prefix_cost.
	Name string `json:"name"`
	// RecomputePrice multiplies the time to compute blocks that some other
	// live upstream holds.
	RecomputePrice float64 `json:"recompute_price"`
	// CrossingPrice is the added cost of each megabyte that crosses regions.
	CrossingPrice Duration `json:"crossing_price"`
	// CrossingLatency is the added time to the first token in another region.
	CrossingLatency Duration `json:"crossing_latency"`
	// LookupTimeout bounds the wait for the prefix index.
	LookupTimeout Duration `json:"lookup_timeout"`
}

// AdmissionPolicy steers queues and limits.
type AdmissionPolicy struct {
	// QueueLength bounds the requests that wait in one router.
	QueueLength int `json:"queue_length"`
	// MaxWait bounds the wait of an interactive request for a slot.
	MaxWait Duration `json:"max_wait"`
	// BatchMaxWait bounds the wait of a batch request for a slot.
	BatchMaxWait Duration `json:"batch_max_wait"`
	// BatchShare is the largest share of the slots that batch work may hold.
	BatchShare float64 `json:"batch_share"`
	// DemandWindow is how far back the peak of interactive demand is remembered.
	// Batch work leaves that many slots free; 0 leaves none.
	DemandWindow Duration `json:"demand_window,omitempty"`
}

// AttemptPolicy steers retries and cooldowns.
type AttemptPolicy struct {
	MaxAttempts int `json:"max_attempts"`
	// RetryBudget is the largest number of retries as a share of requests.
	RetryBudget float64 `json:"retry_budget"`
	// Cooldown is how long a failing upstream is left out.
	Cooldown Duration `json:"cooldown"`
	// MaxEjected is the share of upstreams above which health counts as unknown.
	MaxEjected float64 `json:"max_ejected"`
}

// StreamPolicy steers timeouts of answers.
type StreamPolicy struct {
	// FirstByteTimeout bounds the wait for the first byte of an answer.
	FirstByteTimeout Duration `json:"first_byte_timeout"`
	// IdleTimeout bounds the silence within an answer.
	IdleTimeout Duration `json:"idle_timeout"`
	// TotalTimeout bounds a whole answer.
	TotalTimeout Duration `json:"total_timeout"`
	// CallerWriteTimeout bounds one write to a slow caller.
	CallerWriteTimeout Duration `json:"caller_write_timeout"`
	// MaxResumes bounds the reconnections of one stream.
	MaxResumes int `json:"max_resumes"`
}

// PlacementPolicy steers which engine loads what.
type PlacementPolicy struct {
	// MaxLoads bounds the weight loads of one region at one time.
	MaxLoads int `json:"max_loads"`
	// LoadInterval is the shortest time between two load orders of one region,
	// after the rate of the weight store; 0s is no limit.
	LoadInterval Duration `json:"load_interval,omitempty"`
	// LeaseTTL is the time to live of a region's placement lease.
	LeaseTTL Duration `json:"lease_ttl"`
	// OrderTimeout is the longest time an order stays valid.
	OrderTimeout Duration `json:"order_timeout"`
	// MinDwell is the shortest time between two moves of one engine.
	MinDwell Duration `json:"min_dwell"`
}
