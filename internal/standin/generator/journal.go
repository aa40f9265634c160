package generator

import (
	"context"
	"slices"
	"sync"

	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

// journalLength is the number of events that can be read again.
const journalLength = 4096

// maxBlocksPerEvent bounds the blocks of one event.
const maxBlocksPerEvent = 512

// journal keeps the latest cache events of one incarnation.
type journal struct {
	incarnation uint64

	mu     sync.Mutex
	events []indexer.Event
	seq    uint64
	grown  chan struct{}
}

func newJournal(incarnation uint64) *journal {
	return &journal{incarnation: incarnation, grown: make(chan struct{})}
}

// add publishes blocks that were stored or evicted, an event for each model.
func (j *journal) add(kind indexer.EventKind, list []cached) {
	if len(list) == 0 {
		return
	}
	byModel := make(map[observer.LoadedModel][]indexer.Block)
	for _, b := range list {
		byModel[b.model] = append(byModel[b.model], b.block)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for model, blocks := range byModel {
		for part := range slices.Chunk(blocks, maxBlocksPerEvent) {
			j.append(indexer.Event{Kind: kind, Model: model.Name, WeightsVersion: model.WeightsVersion, Blocks: part})
		}
	}
	close(j.grown)
	j.grown = make(chan struct{})
}

func (j *journal) append(e indexer.Event) {
	j.seq++
	e.Seq = j.seq
	e.Incarnation = j.incarnation
	j.events = append(j.events, e)
	if len(j.events) > 2*journalLength {
		j.events = slices.Clone(j.events[len(j.events)-journalLength:])
	}
}

// next waits for events after seq and returns those that are still kept.
func (j *journal) next(ctx context.Context, seq uint64) ([]indexer.Event, error) {
	for {
		j.mu.Lock()
		events, grown := j.after(seq), j.grown
		j.mu.Unlock()
		if len(events) > 0 {
			return events, nil
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (j *journal) after(seq uint64) []indexer.Event {
	at, _ := slices.BinarySearchFunc(j.events, seq+1, func(e indexer.Event, n uint64) int {
		switch {
		case e.Seq < n:
			return -1
		case e.Seq > n:
			return 1
		}
		return 0
	})
	return slices.Clone(j.events[at:])
}
