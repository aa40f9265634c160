package dispatcher

import (
	"context"
	"time"

	"gentianstep.example/gentianstep/internal/upstream/caller"
)

// Choice is the upstream that one attempt at a request goes to.
type Choice struct {
	RequestID string
	Attempt   int
	Target    caller.Target
	// MissingBlocks is the number of prompt blocks that the upstream is
	// believed to lack.
	MissingBlocks int
	// ImportBlocks is the number of leading blocks that the upstream is asked
	// to import rather than compute, 0 for none.
	ImportBlocks int
	// Export asks the upstream to hand the prompt's blocks to the store of kept
	// cache.
	Export bool
}

// Chooser chooses upstreams and hears how each attempt goes, so that it can
// keep the load and the health that it believes in. Its methods may be called
// by many goroutines at once.
type Chooser interface {
	// Choose returns the upstream of an attempt at a completion. Excluded
	// names the upstreams that failed earlier attempts. An attempt above 1 is
	// a retry, which Choose may refuse.
	Choose(ctx context.Context, j Job, attempt int, excluded map[string]bool) (Choice, error)
	// ChooseService is Choose for a call of a plain service.
	ChooseService(ctx context.Context, j ServiceJob, attempt int, excluded map[string]bool) (Choice, error)
	// Sent tells that the attempt is about to go out. Exactly one call of
	// Finished, Failed or Abandoned follows each call of Sent.
	Sent(now time.Time, c Choice)
	// FirstToken tells that the first token of an answer came.
	FirstToken(now time.Time, c Choice)
	// Finished tells that the whole answer came.
	Finished(now time.Time, c Choice)
	// Failed tells that the contact with the upstream failed.
	Failed(now time.Time, c Choice, err error)
	// Abandoned tells that the attempt ended for a reason that says nothing
	// about the upstream, such as a caller that went away.
	Abandoned(now time.Time, c Choice)
}

// Pinner is a Chooser that decides which weights version serves a request.
type Pinner interface {
	// Pin returns the version for the next attempt at j, of which the caller
	// has nothing yet. Excluded names the upstreams that failed earlier
	// attempts. An answer that has begun keeps its version.
	Pin(j Job, excluded map[string]bool) string
}
