package picker

import "time"

// Load is the work at one upstream.
type Load struct {
	// InFlight counts requests without a whole answer.
	InFlight int
	// PromptTokens sums what is still to be read for requests without a first
	// event.
	PromptTokens int
	// Copying is the time for which copies keep its link busy.
	Copying time.Duration
}

// Plus adds the load of others.
func (l Load) Plus(other Load) Load {
	return Load{InFlight: l.InFlight + other.InFlight, PromptTokens: l.PromptTokens + other.PromptTokens, Copying: l.Copying + other.Copying}
}
