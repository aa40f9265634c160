package generator

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

// Refusals of an engine.
var (
	errWrongVersion = errors.New("model or weights version is not loaded")
	errLeaving      = errors.New("engine is leaving")
)

// keepFinished is how long a finished answer can be resumed.
const keepFinished = 30 * time.Second

// job is one request as the engine runs it.
type job struct {
	scope       hasher.Scope
	prompt      string
	chain       []hasher.Hash
	interactive bool
	maxTokens   int
	// firstToken is the number of tokens that the caller already has.
	firstToken int
	stream     *stream
	kept       kept
	// expected is the number of blocks that were missing on arrival.
	expected int
}

// Engine is a model engine with a queue, slots and a prefix cache.
type Engine struct {
	cfg     Config
	slots   *slots
	prefill chan struct{}
	journal *journal
	// exports holds one entry for each export on its way.
	exports chan struct{}

	mu           sync.Mutex
	cache        *cache
	models       []observer.LoadedModel
	streams      map[string]*stream
	queuedBlocks int
	leaving      bool
	placing      placing
	stats        Stats
}

// New returns an engine with an empty cache.
func New(cfg Config) *Engine {
	if cfg.EventDelay == 0 {
		cfg.EventDelay = defaultEventDelay
	}
	if cfg.Registry == nil {
		cfg.Registry = NewRegistry()
	}
	return &Engine{
		cfg:     cfg,
		slots:   newSlots(cfg.Slots),
		prefill: make(chan struct{}, 1),
		exports: make(chan struct{}, maxExports),
		journal: newJournal(cfg.Incarnation),
		cache:   newCache(cfg.CacheBlocks),
		models:  slices.Clone(cfg.Models),
		streams: make(map[string]*stream),
	}
}

// start admits j and runs it in the background.
func (e *Engine) start(ctx context.Context, j *job) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return errLeaving
	}
	wanted := observer.LoadedModel{Name: j.scope.Model, WeightsVersion: j.scope.WeightsVersion}
	if !slices.Contains(e.models, wanted) {
		return errWrongVersion
	}
	if earlier := e.streams[j.stream.id]; earlier != nil {
		earlier.stop()
	}
	e.streams[j.stream.id] = j.stream
	j.expected = len(j.chain) - e.cache.held(j.chain)
	e.queuedBlocks += j.expected
	e.stats.Requests++
	go e.run(ctx, j)
	return nil
}

// run takes j through the queue, the prefill and the decoding.
func (e *Engine) run(ctx context.Context, j *job) {
	defer e.forgetLater(j.stream)
	if err := e.slots.enter(ctx, j.interactive); err != nil {
		e.leaveQueue(j)
		return
	}
	defer e.slots.leave()
	e.importKept(ctx, j)
	u, err := e.compute(ctx, j)
	if err != nil {
		return
	}
	e.exportKept(j)
	if e.decode(ctx, j) {
		j.stream.finish(u)
	}
}

// compute fills the cache with the blocks that j lacks, one job at a time.
func (e *Engine) compute(ctx context.Context, j *job) (usage, error) {
	select {
	case e.prefill <- struct{}{}:
	case <-ctx.Done():
		e.leaveQueue(j)
		return usage{}, ctx.Err()
	}
	defer func() { <-e.prefill }()
	e.mu.Lock()
	held := e.cache.held(j.chain)
	elsewhere := e.cfg.Registry.held(j.chain[held:])
	e.mu.Unlock()
	missing := len(j.chain) - held
	err := Pause(ctx, time.Duration(missing+1)*e.cfg.PrefillPerBlock)
	e.leaveQueue(j)
	if err != nil {
		return usage{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.store(j.scope, j.chain)
	e.stats.PromptBlocks += len(j.chain)
	e.stats.CachedBlocks += max(held-j.kept.imported, 0)
	e.stats.RecomputedBlocks += elsewhere
	return usage{promptBytes: len(j.prompt), cachedBlocks: held}, nil
}

// decode adds the tokens of j and reports whether the answer is whole.
func (e *Engine) decode(ctx context.Context, j *job) bool {
	for n := j.firstToken; n < j.maxTokens; n++ {
		j.stream.add(Token(j.prompt, j.scope.WeightsVersion, n))
		if err := Pause(ctx, e.cfg.TokenInterval); err != nil {
			return false
		}
	}
	return true
}

func (e *Engine) leaveQueue(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queuedBlocks -= j.expected
}

func (e *Engine) forgetLater(s *stream) {
	time.AfterFunc(keepFinished, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.streams[s.id] == s {
			delete(e.streams, s.id)
		}
	})
}

// stream returns the answer of request id, nil where there is none.
func (e *Engine) stream(id string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[id]
}

// cancel stops the work for an attempt at request id and reports whether there
// was any.
func (e *Engine) cancel(id, attempt string) bool {
	s := e.stream(id)
	if s == nil || (attempt != "" && attempt != s.attempt) || !s.stop() {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Cancelled++
	return true
}

// Report returns the engine's account of itself.
func (e *Engine) Report() observer.Report {
	running, queued := e.slots.counts()
	e.mu.Lock()
	defer e.mu.Unlock()
	return observer.Report{
		Upstream:     e.cfg.Name,
		Incarnation:  e.cfg.Incarnation,
		At:           time.Now(),
		Queued:       queued,
		Running:      running,
		QueuedBlocks: e.queuedBlocks,
		Leaving:      e.leaving,
		Models:       slices.Clone(e.models),
		Loading:      slices.Clone(e.placing.loading),
	}
}

// Leave makes the engine refuse new work and say so in its reports.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Clear drops every block of the cache and says so in an event.
func (e *Engine) Clear() {
	e.mu.Lock()
	defer e.mu.Unlock()
	evicted := e.cache.clear()
	e.cfg.Registry.change(nil, evicted)
	e.journal.add(indexer.Evicted, evicted)
}

// Crash ends every stream and takes the blocks out of the registry. The
// engine must not be used afterwards.
func (e *Engine) Crash() {
	e.Leave()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		s.cancel()
	}
	e.cfg.Registry.change(nil, e.cache.clear())
}

// Stats returns the engine's counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}
