package checker

// Priority orders work of one organisation against others.
type Priority string

// Priorities, the more urgent first.
const (
	Interactive Priority = "interactive"
	Batch       Priority = "batch"
)

// Organisation is a customer firm whose callers share keys, a weight and limits.
type Organisation struct {
	Name string `json:"name"`
	// KeyHashes are the SHA-256 sums, in hex, of the keys of its callers.
	KeyHashes []string `json:"key_hashes"`
	// Weight is its share of a busy fleet in relation to the other weights.
	Weight int `json:"weight"`
	// RequestsPerSecond limits the organisation over the whole fleet; 0 is no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// Priority is the priority of requests that ask for none.
	Priority Priority `json:"priority"`
	// Models lists the models it may use; empty allows all of them.
	Models []string `json:"models,omitempty"`
	// Services lists the plain services it may call; empty allows all of them.
	Services []string `json:"services,omitempty"`
}
