// Package inquirer asks a controller questions and matches the answers.
package inquirer

import (
	"context"
	"sync"

	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/peering/messenger"
)

const (
	// maxParts bounds the parts of one answer that wait to be read.
	maxParts = 16
	// enoughShare is the share of a prompt that ends the wait for the answers
	// of other regions once a part says that it is held.
	enoughShare = 0.75
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
	waiting map[uint64]chan messenger.LookupReply
}

// New returns an Inquirer that waits for nothing.
func New(cfg Config) *Inquirer {
	return &Inquirer{cfg: cfg, waiting: make(map[uint64]chan messenger.LookupReply)}
}

// Lookup asks which upstreams hold the checkpoints and returns the parts of
// the answer that came before ctx ended. The last result is false where none
// came.
func (q *Inquirer) Lookup(ctx context.Context, checkpoints []hasher.Hash) ([]indexer.Holding, bool) {
	id, parts := q.open()
	defer q.close(id)
	if !q.cfg.Send(messenger.Message{Lookup: &messenger.Lookup{ID: id, Checkpoints: checkpoints}}) {
		return nil, false
	}
	enough := int(enoughShare * float64(len(checkpoints)*hasher.CheckpointBlocks))
	var holdings []indexer.Holding
	answered := false
	for {
		select {
		case part := <-parts:
			answered = true
			holdings = append(holdings, part.Holdings...)
			if !part.More || holds(part.Holdings, enough) {
				return holdings, true
			}
		case <-ctx.Done():
			return holdings, answered
		}
	}
}

// holds reports whether an upstream holds that many blocks.
func holds(holdings []indexer.Holding, blocks int) bool {
	for _, h := range holdings {
		if h.HeldBlocks >= blocks {
			return true
		}
	}
	return false
}

func (q *Inquirer) open() (uint64, chan messenger.LookupReply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.nextID++
	parts := make(chan messenger.LookupReply, maxParts)
	q.waiting[q.nextID] = parts
	return q.nextID, parts
}

func (q *Inquirer) close(id uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, id)
}

// Reply hands a part of an answer to who waits for it; a late one is dropped.
func (q *Inquirer) Reply(r messenger.LookupReply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	parts, ok := q.waiting[r.ID]
	if !ok {
		return
	}
	select {
	case parts <- r:
	default:
	}
}
