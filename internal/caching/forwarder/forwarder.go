// Package forwarder turns the cache events of one upstream into updates for
// the owners of the parts of the prefix index. It does no I/O and reads no
// clock.
package forwarder

import (
	"slices"
	"time"

	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/caching/partitioner"
	"gentianstep.example/gentianstep/internal/caching/sequencer"
)

// defaultMaxHeld is the largest number of checkpoints kept for one upstream.
const defaultMaxHeld = 1 << 18

// Config is what a Forwarder is made from.
type Config struct {
	Upstream string
	Owners   *partitioner.Partitioner
	// Sequencer bounds the wait for events that come out of order.
	Sequencer sequencer.Config
	// MaxHeld bounds the checkpoints that can be told again to a new owner.
	MaxHeld int
}

// Delivery is an update and the controller to send it to.
type Delivery struct {
	Owner  string
	Update indexer.Update
}

// held is a checkpoint that the upstream holds.
type held struct {
	family hasher.Hash
	model  string
}

// batchKey names one update that is being gathered.
type batchKey struct {
	owner string
	model string
}

// Forwarder reads the events of one upstream. It is used by one goroutine at
// a time.
type Forwarder struct {
	cfg    Config
	events *sequencer.Sequencer[indexer.Event]
	held   map[hasher.Hash]held
	// weights is the weights version of each model.
	weights map[string]string
	seq     uint64
	batches map[batchKey]*indexer.Update
	due     []Delivery
}

// New returns a Forwarder that has read nothing.
func New(cfg Config) *Forwarder {
	if cfg.MaxHeld <= 0 {
		cfg.MaxHeld = defaultMaxHeld
	}
	return &Forwarder{
		cfg:     cfg,
		events:  sequencer.New[indexer.Event](cfg.Sequencer),
		held:    make(map[hasher.Hash]held),
		weights: make(map[string]string),
		batches: make(map[batchKey]*indexer.Update),
	}
}

// Stats returns the counters of the event stream.
func (f *Forwarder) Stats() sequencer.Stats { return f.events.Stats() }

// Push takes one event as it came.
func (f *Forwarder) Push(now time.Time, e indexer.Event) {
	f.follow(f.events.Push(now, e.Incarnation, e.Seq, e))
}

// Advance takes the incarnation that the upstream reported, which may be newer
// than that of its last event.
func (f *Forwarder) Advance(incarnation uint64) {
	f.follow(f.events.Advance(incarnation))
}

// Flush returns the updates gathered since the last call, at most one for each
// owner and model unless events were lost in between.
func (f *Forwarder) Flush(now time.Time) []Delivery {
	f.follow(f.events.Tick(now))
	f.flushBatches()
	due := f.due
	f.due = nil
	return due
}

func (f *Forwarder) follow(steps []sequencer.Step[indexer.Event]) {
	for _, step := range steps {
		switch step.Kind {
		case sequencer.Deliver:
			f.apply(step.Event)
		case sequencer.Gap:
			f.gap(step.Seq)
		case sequencer.Restart:
			f.restart()
		}
	}
}

// apply gathers one event that came in order.
func (f *Forwarder) apply(e indexer.Event) {
	before, known := f.weights[e.Model]
	f.weights[e.Model] = e.WeightsVersion
	if e.Kind == indexer.Cleared || (known && before != e.WeightsVersion) {
		// The blocks of the same event follow as a newer update.
		f.replaceModel(e.Model)
	}
	f.seq = e.Seq
	for _, b := range e.Blocks {
		if !hasher.IsCheckpoint(b.Index) || b.Family == 0 {
			continue
		}
		f.applyBlock(e, b)
	}
}

func (f *Forwarder) applyBlock(e indexer.Event, b indexer.Block) {
	batch := f.batch(f.cfg.Owners.Owner(b.Family), e.Model)
	batch.Seq = e.Seq
	if e.Kind == indexer.Evicted {
		delete(f.held, b.Hash)
		batch.Stored = without(batch.Stored, b.Hash)
		batch.Evicted = append(batch.Evicted, b.Hash)
		return
	}
	if len(f.held) < f.cfg.MaxHeld {
		f.held[b.Hash] = held{family: b.Family, model: e.Model}
	}
	batch.Evicted = without(batch.Evicted, b.Hash)
	batch.Stored = append(batch.Stored, b.Hash)
}

// without removes hash, of which the last change of a batch alone counts.
func without(list []hasher.Hash, hash hasher.Hash) []hasher.Hash {
	if i := slices.Index(list, hash); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// batch returns the update being gathered for an owner and model.
func (f *Forwarder) batch(owner, model string) *indexer.Update {
	key := batchKey{owner: owner, model: model}
	if u, ok := f.batches[key]; ok {
		return u
	}
	u := f.update(indexer.Change, model)
	f.batches[key] = &u
	return &u
}

func (f *Forwarder) update(kind indexer.UpdateKind, model string) indexer.Update {
	return indexer.Update{
		Kind:           kind,
		Upstream:       f.cfg.Upstream,
		Incarnation:    f.events.Incarnation(),
		Seq:            f.seq,
		Model:          model,
		WeightsVersion: f.weights[model],
	}
}

// flushBatches moves what was gathered to the deliveries that are due.
func (f *Forwarder) flushBatches() {
	for key, u := range f.batches {
		f.due = append(f.due, Delivery{Owner: key.owner, Update: *u})
	}
	clear(f.batches)
}

// gap tells every owner that events before next were lost. What was held is not told again
// to a new owner, since its evictions may be among the lost ones.
func (f *Forwarder) gap(next uint64) {
	f.flushBatches()
	f.seq = next - 1
	clear(f.held)
	f.tellAll(f.update(indexer.Gap, ""))
}

// restart tells every owner of the new incarnation.
func (f *Forwarder) restart() {
	clear(f.batches)
	clear(f.held)
	f.seq = 0
	clear(f.weights)
	f.tellAll(f.update(indexer.Gap, ""))
}

func (f *Forwarder) tellAll(u indexer.Update) {
	for _, owner := range f.cfg.Owners.Members() {
		f.due = append(f.due, Delivery{Owner: owner, Update: u})
	}
}

// replaceModel tells every owner that the upstream holds nothing of the model.
func (f *Forwarder) replaceModel(model string) {
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
	f.tellAll(f.update(indexer.Full, model))
}
