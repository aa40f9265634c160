package checker

// Policy holds the parameters of the routing, admission, retry, streaming and
// placement policies.
type Policy struct {
	Selection SelectionPolicy `json:"selection"`
	Admission AdmissionPolicy `json:"admission"`
	Attempts  AttemptPolicy   `json:"attempts"`
	Streams   StreamPolicy    `json:"streams"`
	Placement PlacementPolicy `json:"placement"`
}

// SelectionPolicy configures the selection of an upstream.
type SelectionPolicy struct {
	// Name is one of SelectionNames.
	Name string `json:"name"`
	// RecomputePrice is the factor applied to the time to compute blocks that
	// another live upstream has already cached.
	RecomputePrice float64 `json:"recompute_price"`
	// CrossingPrice is the cost added per megabyte sent to another region.
	CrossingPrice Duration `json:"crossing_price"`
	// CrossingLatency is the added time to first token in another region.
	CrossingLatency Duration `json:"crossing_latency"`
	// LookupTimeout is the timeout of a prefix index lookup.
	LookupTimeout Duration `json:"lookup_timeout"`
}

// AdmissionPolicy configures request queues and their limits.
type AdmissionPolicy struct {
	// QueueLength is the maximum number of queued requests per router.
	QueueLength int `json:"queue_length"`
	// MaxWait is the maximum queueing time of an interactive request.
	MaxWait Duration `json:"max_wait"`
	// BatchMaxWait is the maximum queueing time of a batch request.
	BatchMaxWait Duration `json:"batch_max_wait"`
	// BatchShare is the maximum share of the slots that batch requests may occupy.
	BatchShare float64 `json:"batch_share"`
	// DemandWindow is the sliding window over which the peak of interactive demand
	// is measured. That many slots are withheld from batch requests; with a window
	// of 0 none are.
	DemandWindow Duration `json:"demand_window,omitempty"`
}

// AttemptPolicy configures retries and the ejection of unhealthy upstreams.
type AttemptPolicy struct {
	MaxAttempts int `json:"max_attempts"`
	// RetryBudget is the maximum ratio of retries to requests.
	RetryBudget float64 `json:"retry_budget"`
	// Cooldown is the time for which a failing upstream is ejected.
	Cooldown Duration `json:"cooldown"`
	// MaxEjected is the maximum share of unhealthy upstreams. If more are unhealthy,
	// their health is treated as unknown and none is ejected.
	MaxEjected float64 `json:"max_ejected"`
}

// StreamPolicy configures the timeouts of answers.
type StreamPolicy struct {
	// FirstByteTimeout is the maximum time to the first byte of an answer.
	FirstByteTimeout Duration `json:"first_byte_timeout"`
	// IdleTimeout is the maximum time without data within an answer.
	IdleTimeout Duration `json:"idle_timeout"`
	// TotalTimeout is the maximum duration of an answer.
	TotalTimeout Duration `json:"total_timeout"`
	// CallerWriteTimeout is the timeout of one write to the caller.
	CallerWriteTimeout Duration `json:"caller_write_timeout"`
	// MaxResumes is the maximum number of reconnections of one stream.
	MaxResumes int `json:"max_resumes"`
}

// PlacementPolicy configures the placement of models on engines.
type PlacementPolicy struct {
	// MaxLoads is the maximum number of concurrent weight loads per region.
	MaxLoads int `json:"max_loads"`
	// LoadInterval is the minimum time between two load orders in one region. It is
	// set to match the throughput of the weight store; 0s means no limit.
	LoadInterval Duration `json:"load_interval,omitempty"`
	// LeaseTTL is the time to live of the placement lease of a region.
	LeaseTTL Duration `json:"lease_ttl"`
	// OrderTimeout is the maximum time for which an order stays valid.
	OrderTimeout Duration `json:"order_timeout"`
	// MinDwell is the minimum time between two moves of the same engine.
	MinDwell Duration `json:"min_dwell"`
}
