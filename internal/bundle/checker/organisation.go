package checker

// Priority is the scheduling class of a request.
type Priority string

// Priorities, from the most to the least urgent.
const (
	Interactive Priority = "interactive"
	Batch       Priority = "batch"
)

// Organisation is a group of callers that share API keys, a scheduling weight and
// limits.
type Organisation struct {
	Name string `json:"name"`
	// KeyHashes are the hex SHA-256 hashes of its API keys.
	KeyHashes []string `json:"key_hashes"`
	// Weight is its weight in fair queueing while upstreams are saturated.
	Weight int `json:"weight"`
	// RequestsPerSecond is its rate limit across all routers; 0 means no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// Priority is the default priority of its requests.
	Priority Priority `json:"priority"`
	// Models lists the models it may use; empty allows all.
	Models []string `json:"models,omitempty"`
	// Services lists the plain services it may call; empty allows all.
	Services []string `json:"services,omitempty"`
}
