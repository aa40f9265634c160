package coalescer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/caching/coalescer"
	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/caching/indexer"
)

func TestMemoryOfOwnRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := coalescer.New(coalescer.Config{TTL: time.Second})
	now := time.Unix(1000, 0)
	chain := []hasher.Hash{1, 2}
	look := func(after time.Duration) []indexer.Holding { return c.Lookup(now.Add(after), chain, nil) }

	is.Equal(len(look(0)), 0)
	c.Sent(now, "u", "m", 1, chain)
	is.Equal(look(0)[0].HeldBlocks, 2*hasher.CheckpointBlocks)             // the others follow at once
	is.Equal(look(time.Second)[0].UnsureBlocks, 2*hasher.CheckpointBlocks) // unsure with age
	is.Equal(len(look(3*time.Second)), 0)                                  // forgotten

	c.Sent(now.Add(4*time.Second), "u", "m", 1, chain)
	c.Sent(now.Add(4*time.Second), "u", "m", 2, chain[:1])
	is.Equal(look(4 * time.Second)[0].HeldBlocks, hasher.CheckpointBlocks) // the first incarnation is dead
	c.Sent(now.Add(4*time.Second), "u", "m", 1, chain)
	is.Equal(look(4 * time.Second)[0].HeldBlocks, hasher.CheckpointBlocks) // and stays so
	c.Failed("u")
	is.Equal(len(look(4*time.Second)), 0)
}
