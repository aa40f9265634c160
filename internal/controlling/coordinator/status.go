package coordinator

import (
	"context"
	"slices"

	"gentianstep.example/gentianstep/internal/caching/indexer"
)

// Status is a snapshot of the state of a Coordinator for operators.
type Status struct {
	// Members holds the live controllers, including this one.
	Members []Member `json:"members"`
	// ReadUpstreams names the upstreams whose events this controller reads.
	ReadUpstreams []string `json:"reads"`
	// Index holds the counters of this controller's partition of the prefix index.
	Index indexer.Stats `json:"index"`
	// DroppedInputs is the number of inputs dropped because the input queue was full.
	DroppedInputs uint64 `json:"dropped_inputs"`
}

// Status returns a snapshot taken by the goroutine of Run. It waits until ctx is
// cancelled if Run does not process the request, for example because the input queue
// is full.
func (c *Coordinator) Status(ctx context.Context) (Status, error) {
	reply := make(chan Status, 1)
	c.enqueue(input{status: reply})
	select {
	case s := <-reply:
		return s, nil
	case <-ctx.Done():
		return Status{}, ctx.Err()
	}
}

// snapshot returns the current status. It must be called by the goroutine of Run.
func (c *Coordinator) snapshot() Status {
	s := Status{
		Members:       slices.Clone(c.members),
		Index:         c.index.Stats(),
		DroppedInputs: c.dropped.Load(),
	}
	for name := range c.readers {
		s.ReadUpstreams = append(s.ReadUpstreams, name)
	}
	slices.Sort(s.ReadUpstreams)
	return s
}
