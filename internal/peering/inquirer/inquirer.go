// Package inquirer asks a controller questions and matches the answers.
package inquirer

import (
	"context"
	"sync"

	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/peering/messenger"
)

// Config holds what an Inquirer is built from.
type Config struct {
	// Send queues a message for the controller and reports whether it was queued.
	Send func(messenger.Message) bool
}

// Inquirer asks lookups over one connection.
type Inquirer struct {
	cfg Config

	mu      sync.Mutex
	nextID  uint64
	waiting map[uint64]chan []indexer.Holding
}

// New returns an Inquirer that waits for nothing.
func New(cfg Config) *Inquirer {
	return &Inquirer{cfg: cfg, waiting: make(map[uint64]chan []indexer.Holding)}
}

// Lookup asks which upstreams hold the checkpoints. The last result is false
// where no answer came before ctx ended.
func (q *Inquirer) Lookup(ctx context.Context, checkpoints []hasher.Hash) ([]indexer.Holding, bool) {
	id, answer := q.open()
	defer q.close(id)
	if !q.cfg.Send(messenger.Message{Lookup: &messenger.Lookup{ID: id, Checkpoints: checkpoints}}) {
		return nil, false
	}
	select {
	case holdings := <-answer:
		return holdings, true
	case <-ctx.Done():
		return nil, false
	}
}

func (q *Inquirer) open() (uint64, chan []indexer.Holding) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.nextID++
	answer := make(chan []indexer.Holding, 1)
	q.waiting[q.nextID] = answer
	return q.nextID, answer
}

func (q *Inquirer) close(id uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, id)
}

// Reply hands an answer to who waits for it; a late one is dropped.
func (q *Inquirer) Reply(r messenger.LookupReply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	answer, ok := q.waiting[r.ID]
	if !ok {
		return
	}
	delete(q.waiting, r.ID)
	answer <- r.Holdings
}
