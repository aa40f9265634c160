// Package forwarder converts the cache events of one upstream into updates of the
// prefix index, one batch for each owner of a partition. It does no I/O and reads
// no clock.
package forwarder

import (
	"slices"
	"time"

	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/caching/partitioner"
	"gentianstep.example/gentianstep/internal/caching/sequencer"
)

// defaultMaxHeld is the default limit of checkpoints kept for one upstream.
const defaultMaxHeld = 1 << 18

// Config configures a Forwarder.
type Config struct {
	Upstream string
	// Owners assigns each prefix family to the controller that indexes it.
	Owners *partitioner.Partitioner
	// Sequencer limits the buffering of events that arrive out of order.
	Sequencer sequencer.Config
	// MaxHeld bounds the checkpoints that are kept to resynchronise an owner. Zero
	// selects the default.
	MaxHeld int
}

// Delivery is an index update addressed to a controller.
type Delivery struct {
	Owner  string
	Update indexer.Update
}

// heldCheckpoint describes a checkpoint that the upstream holds.
type heldCheckpoint struct {
	family hasher.Hash
	model  string
}

// batchKey identifies the update in which changes for an owner and a model are
// collected.
type batchKey struct {
	owner string
	model string
}

// Forwarder processes the cache events of one upstream. It is not safe for
// concurrent use.
type Forwarder struct {
	cfg    Config
	events *sequencer.Sequencer[indexer.Event]
	held   map[hasher.Hash]heldCheckpoint
	// weightsVersions holds the weights version of each model.
	weightsVersions map[string]string
	// seq is the number of the last event that was applied or lost.
	seq     uint64
	batches map[batchKey]*indexer.Update
	// queued holds the deliveries that the next call of Flush returns.
	queued []Delivery
}

// New returns a Forwarder that has processed no events.
func New(cfg Config) *Forwarder {
	if cfg.MaxHeld <= 0 {
		cfg.MaxHeld = defaultMaxHeld
	}
	return &Forwarder{
		cfg:             cfg,
		events:          sequencer.New[indexer.Event](cfg.Sequencer),
		held:            make(map[hasher.Hash]heldCheckpoint),
		weightsVersions: make(map[string]string),
		batches:         make(map[batchKey]*indexer.Update),
	}
}

// Stats returns the counters of the event stream.
func (f *Forwarder) Stats() sequencer.Stats { return f.events.Stats() }

// Push processes an event in the order of arrival, which may differ from the order
// of the sequence numbers.
func (f *Forwarder) Push(now time.Time, e indexer.Event) {
	f.process(f.events.Push(now, e.Incarnation, e.Seq, e))
}

// Advance processes the incarnation that the upstream reported. If it is newer than
// that of the last event, the state of the older one is discarded.
func (f *Forwarder) Advance(incarnation uint64) {
	f.process(f.events.Advance(incarnation))
}

// Flush returns the updates collected since the last call. There is at most one for
// each owner and model, unless events were lost, a model was cleared or an owner
// was resynchronised.
func (f *Forwarder) Flush(now time.Time) []Delivery {
	f.process(f.events.Tick(now))
	f.flushBatches()
	deliveries := f.queued
	f.queued = nil
	return deliveries
}

// process applies the steps of the sequencer in order.
func (f *Forwarder) process(steps []sequencer.Step[indexer.Event]) {
	for _, step := range steps {
		switch step.Kind {
		case sequencer.Deliver:
			f.applyEvent(step.Event)
		case sequencer.Gap:
			f.applyGap(step.Seq)
		case sequencer.Restart:
			f.applyRestart()
		}
	}
}

// applyEvent adds an event to the batches. Events are passed in sequence order.
func (f *Forwarder) applyEvent(e indexer.Event) {
	previous, known := f.weightsVersions[e.Model]
	f.weightsVersions[e.Model] = e.WeightsVersion
	if e.Kind == indexer.Cleared || (known && previous != e.WeightsVersion) {
		// The full update keeps the sequence number of the previous event, so
		// that the change with the blocks of this event is newer and is applied.
		f.clearModel(e.Model)
	}
	f.seq = e.Seq
	for _, b := range e.Blocks {
		if !hasher.IsCheckpoint(b.Index) || b.Family == 0 {
			continue
		}
		f.applyBlock(e, b)
	}
}

// applyBlock adds a checkpoint to the batch of its owner.
func (f *Forwarder) applyBlock(e indexer.Event, b indexer.Block) {
	batch := f.batchFor(f.cfg.Owners.Owner(b.Family), e.Model)
	batch.Seq = e.Seq
	if e.Kind == indexer.Evicted {
		delete(f.held, b.Hash)
		batch.Stored = removeHash(batch.Stored, b.Hash)
		batch.Evicted = append(batch.Evicted, b.Hash)
		return
	}
	if len(f.held) < f.cfg.MaxHeld {
		f.held[b.Hash] = heldCheckpoint{family: b.Family, model: e.Model}
	}
	batch.Evicted = removeHash(batch.Evicted, b.Hash)
	batch.Stored = append(batch.Stored, b.Hash)
}

// removeHash removes hash from list. A batch keeps only the last change of each
// hash, since an update does not record the order of its changes.
func removeHash(list []hasher.Hash, hash hasher.Hash) []hasher.Hash {
	if i := slices.Index(list, hash); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// batchFor returns the update that collects the changes for an owner and model.
func (f *Forwarder) batchFor(owner, model string) *indexer.Update {
	key := batchKey{owner: owner, model: model}
	if u, ok := f.batches[key]; ok {
		return u
	}
	u := f.newUpdate(indexer.Change, model)
	f.batches[key] = &u
	return &u
}

// newUpdate returns an update without hashes, as of the last event.
func (f *Forwarder) newUpdate(kind indexer.UpdateKind, model string) indexer.Update {
	return indexer.Update{
		Kind:           kind,
		Upstream:       f.cfg.Upstream,
		Incarnation:    f.events.Incarnation(),
		Seq:            f.seq,
		Model:          model,
		WeightsVersion: f.weightsVersions[model],
	}
}

// flushBatches queues the collected updates for delivery.
func (f *Forwarder) flushBatches() {
	for key, u := range f.batches {
		f.queued = append(f.queued, Delivery{Owner: key.owner, Update: *u})
	}
	clear(f.batches)
}

// applyGap sends every owner a gap: events before next were lost. It discards the
// held checkpoints, because the lost events may include their evictions; a new
// owner must not receive them as held.
func (f *Forwarder) applyGap(next uint64) {
	f.flushBatches()
	f.seq = next - 1
	clear(f.held)
	f.broadcast(f.newUpdate(indexer.Gap, ""))
}

// applyRestart discards the state of the previous incarnation and sends every owner
// a gap of the new one, at which the owner invalidates the older records.
func (f *Forwarder) applyRestart() {
	clear(f.batches)
	clear(f.held)
	f.seq = 0
	clear(f.weightsVersions)
	f.broadcast(f.newUpdate(indexer.Gap, ""))
}

// broadcast queues an update for every owner.
func (f *Forwarder) broadcast(u indexer.Update) {
	for _, owner := range f.cfg.Owners.Members() {
		f.queued = append(f.queued, Delivery{Owner: owner, Update: u})
	}
}

// clearModel sends every owner an empty full update: the upstream holds no block of
// the model.
func (f *Forwarder) clearModel(model string) {
	for hash, h := range f.held {
		if h.model == model {
			delete(f.held, hash)
		}
	}
	for key := range f.batches {
		if key.model == model {
			delete(f.batches, key)
		}
	}
	f.broadcast(f.newUpdate(indexer.Full, model))
}
