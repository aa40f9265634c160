package picker

import "time"

// Load is the load of one upstream.
type Load struct {
	// InFlight is the number of requests without a complete answer.
	InFlight int
	// PromptTokens is the number of prompt tokens to prefill for requests
	// without a first event.
	PromptTokens int
	// Copying is the time for which copies keep the upstream's link busy.
	Copying time.Duration
}

// Plus returns the sum of l and other.
func (l Load) Plus(other Load) Load {
	return Load{InFlight: l.InFlight + other.InFlight, PromptTokens: l.PromptTokens + other.PromptTokens, Copying: l.Copying + other.Copying}
}
