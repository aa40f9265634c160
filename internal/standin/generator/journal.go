package generator

import (
	"context"
	"slices"
	"sync"

	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

// minRetainedEvents is the number of latest events that can always be read.
const minRetainedEvents = 4096

// maxBlocksPerEvent limits the number of blocks in one event.
const maxBlocksPerEvent = 512

// journal retains the latest cache events of one incarnation.
type journal struct {
	incarnation uint64

	mu      sync.Mutex
	events  []indexer.Event
	seq     uint64
	updated chan struct{}
}

func newJournal(incarnation uint64) *journal {
	return &journal{incarnation: incarnation, updated: make(chan struct{})}
}

// addEvents adds events of the given kind for blocks, at least one for each
// model version.
func (j *journal) addEvents(kind indexer.EventKind, list []cachedBlock) {
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
	close(j.updated)
	j.updated = make(chan struct{})
}

func (j *journal) append(e indexer.Event) {
	j.seq++
	e.Seq = j.seq
	e.Incarnation = j.incarnation
	j.events = append(j.events, e)
	if len(j.events) > 2*minRetainedEvents {
		j.events = slices.Clone(j.events[len(j.events)-minRetainedEvents:])
	}
}

// waitForEvents waits until there are events after seq and returns those that
// are retained.
func (j *journal) waitForEvents(ctx context.Context, seq uint64) ([]indexer.Event, error) {
	for {
		j.mu.Lock()
		events, updated := j.eventsAfter(seq), j.updated
		j.mu.Unlock()
		if len(events) > 0 {
			return events, nil
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (j *journal) eventsAfter(seq uint64) []indexer.Event {
	start, _ := slices.BinarySearchFunc(j.events, seq+1, func(e indexer.Event, n uint64) int {
		switch {
		case e.Seq < n:
			return -1
		case e.Seq > n:
			return 1
		}
		return 0
	})
	return slices.Clone(j.events[start:])
}
