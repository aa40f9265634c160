package coalescer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/caching/coalescer"
	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/caching/indexer"
)

func TestRecordedRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := coalescer.New(coalescer.Config{TTL: time.Second})
	now := time.Unix(1000, 0)
	chain := []hasher.Hash{1, 2}
	lookup := func(after time.Duration) []indexer.Holding { return c.Lookup(now.Add(after), chain, nil) }

	is.Equal(len(lookup(0)), 0)
	c.RecordRequest(now, "u", "m", 1, chain)
	is.Equal(lookup(0)[0].HeldBlocks, 2*hasher.CheckpointBlocks)             // held as soon as the request is recorded
	is.Equal(lookup(time.Second)[0].UnsureBlocks, 2*hasher.CheckpointBlocks) // unsure after one TTL
	is.Equal(len(lookup(3*time.Second)), 0)                                  // expired after two TTLs

	c.RecordRequest(now.Add(4*time.Second), "u", "m", 1, chain)
	c.RecordRequest(now.Add(4*time.Second), "u", "m", 2, chain[:1])
	is.Equal(lookup(4 * time.Second)[0].HeldBlocks, hasher.CheckpointBlocks) // the newer incarnation replaces the records of the older one
	c.RecordRequest(now.Add(4*time.Second), "u", "m", 1, chain)
	is.Equal(lookup(4 * time.Second)[0].HeldBlocks, hasher.CheckpointBlocks) // a request to the older incarnation is ignored
	c.RecordFailure("u")
	is.Equal(len(lookup(4*time.Second)), 0)
}
