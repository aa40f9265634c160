package dispatcher

import (
	"context"
	"time"

	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// Choice is the upstream selected for one attempt of a request.
type Choice struct {
	RequestID string
	Attempt   int
	Target    caller.Target
	// MissingBlocks is the estimated number of prompt blocks that the upstream
	// does not have in its cache.
	MissingBlocks int
	// ImportBlocks is the number of leading prompt blocks that the upstream is
	// asked to import instead of computing them, or 0 for none.
	ImportBlocks int
	// Export asks the upstream to export the blocks of the prompt to the external
	// cache store.
	Export bool
}

// Chooser selects upstreams and receives the progress of each attempt, from
// which it estimates the load and the health of the upstreams. Implementations
// must be safe for concurrent use.
type Chooser interface {
	// Choose selects the upstream for an attempt at a completion. Excluded
	// holds the names of the upstreams that failed in earlier attempts. An
	// attempt number above 1 is a retry, which Choose may refuse.
	Choose(ctx context.Context, j Job, attempt int, excluded map[string]bool) (Choice, error)
	// ChooseService selects the upstream for an attempt at a call of a plain
	// service, in the same way as Choose.
	ChooseService(ctx context.Context, j ServiceJob, attempt int, excluded map[string]bool) (Choice, error)
	// Sent records that the attempt is about to be sent. Each call of Sent is
	// followed by exactly one call of Finished, Failed or Abandoned.
	Sent(now time.Time, c Choice)
	// FirstToken records that the first token of the attempt has arrived.
	FirstToken(now time.Time, c Choice)
	// Finished records that the complete answer has arrived.
	Finished(now time.Time, c Choice)
	// Failed records that the attempt failed at the upstream or on the
	// connection to it.
	Failed(now time.Time, c Choice, err error)
	// Abandoned records that the attempt ended for a reason that says nothing
	// about the health of the upstream, such as a disconnected caller.
	Abandoned(now time.Time, c Choice)
}

// Pinner is implemented by a Chooser that selects the weights version of each
// request.
type Pinner interface {
	// Pin returns the weights version for the next attempt at j. It is called
	// only before the first chunk of the answer; from then on the version of
	// the answer is fixed. Excluded holds the names of the upstreams that
	// failed in earlier attempts.
	Pin(j Job, excluded map[string]bool) string
}
