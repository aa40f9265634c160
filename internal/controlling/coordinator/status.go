package coordinator

import (
	"context"
	"slices"

	"gentianstep.example/gentianstep/internal/caching/indexer"
)

// Status is what a coordinator says of itself to operators.
type Status struct {
	Members []Member `json:"members"`
	// Reads names the upstreams whose events this controller reads.
	Reads []string `json:"reads"`
	// Index counts its part of the prefix index.
	Index indexer.Stats `json:"index"`
	// DroppedInputs counts inputs that came while too many were waiting.
	DroppedInputs uint64 `json:"dropped_inputs"`
}

// Status asks the coordinator for its status.
func (c *Coordinator) Status(ctx context.Context) (Status, error) {
	answer := make(chan Status, 1)
	c.put(input{inspect: answer})
	select {
	case s := <-answer:
		return s, nil
	case <-ctx.Done():
		return Status{}, ctx.Err()
	}
}

func (c *Coordinator) status() Status {
	s := Status{
		Members:       slices.Clone(c.members),
		Index:         c.index.Stats(),
		DroppedInputs: c.dropped.Load(),
	}
	for name := range c.readings {
		s.Reads = append(s.Reads, name)
	}
	slices.Sort(s.Reads)
	return s
}
