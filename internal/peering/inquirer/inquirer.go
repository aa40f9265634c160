// Package inquirer looks up cached prefixes in the index of a controller and matches
// replies to lookups.
package inquirer

import (
	"context"
	"sync"

	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/peering/messenger"
)

const (
	// replyBuffer bounds the buffered replies of one lookup.
	replyBuffer = 16
	// sufficientShare is the share of a prompt's blocks at which a lookup ends early: if
	// an upstream holds that share, the replies of other regions are not awaited.
	sufficientShare = 0.75
)

// Config configures an Inquirer.
type Config struct {
	// Send queues a message to the controller and reports whether it was queued.
	Send func(messenger.Message) bool
}

// Inquirer sends lookups over one connection.
type Inquirer struct {
	cfg Config

	mu     sync.Mutex
	nextID uint64
	// pending maps the IDs of lookups to the channels of their replies.
	pending map[uint64]chan messenger.LookupReply
}

// New returns an Inquirer without pending lookups.
func New(cfg Config) *Inquirer {
	return &Inquirer{cfg: cfg, pending: make(map[uint64]chan messenger.LookupReply)}
}

// Lookup returns how many leading blocks of a prompt, identified by its checkpoints,
// each upstream holds, from the replies received before ctx is done. The last result
// is false if there were none.
func (q *Inquirer) Lookup(ctx context.Context, checkpoints []hasher.Hash) ([]indexer.Holding, bool) {
	id, replies := q.open()
	defer q.close(id)
	if !q.cfg.Send(messenger.Message{Lookup: &messenger.Lookup{ID: id, Checkpoints: checkpoints}}) {
		return nil, false
	}
	sufficientBlocks := int(sufficientShare * float64(len(checkpoints)*hasher.CheckpointBlocks))
	var holdings []indexer.Holding
	received := false
	for {
		select {
		case reply := <-replies:
			received = true
			holdings = append(holdings, reply.Holdings...)
			if !reply.More || anyHolds(reply.Holdings, sufficientBlocks) {
				return holdings, true
			}
		case <-ctx.Done():
			return holdings, received
		}
	}
}

// anyHolds reports whether one upstream holds at least so many blocks.
func anyHolds(holdings []indexer.Holding, blocks int) bool {
	for _, h := range holdings {
		if h.HeldBlocks >= blocks {
			return true
		}
	}
	return false
}

// open registers a lookup and returns its ID and the channel of its replies.
func (q *Inquirer) open() (uint64, chan messenger.LookupReply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.nextID++
	replies := make(chan messenger.LookupReply, replyBuffer)
	q.pending[q.nextID] = replies
	return q.nextID, replies
}

// close drops a lookup; later replies to it are ignored.
func (q *Inquirer) close(id uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.pending, id)
}

// HandleReply passes a reply to its pending lookup. It is dropped if the lookup has
// ended or its buffer is full.
func (q *Inquirer) HandleReply(r messenger.LookupReply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	replies, ok := q.pending[r.ID]
	if !ok {
		return
	}
	select {
	case replies <- r:
	default:
	}
}
