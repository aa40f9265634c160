package generator

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

// Reasons for refusing a request. The texts are sent to the client.
var (
	errWrongVersion = errors.New("model or weights version is not loaded")
	errLeaving      = errors.New("engine is leaving")
)

// finishedStreamRetention is how long a stream can be resumed after its job has ended.
const finishedStreamRetention = 30 * time.Second

// job is a request that the engine has accepted.
type job struct {
	scope       hasher.Scope
	prompt      string
	chain       []hasher.Hash
	interactive bool
	maxTokens   int
	// firstToken is the index of the first token to generate; the caller already
	// has the tokens before it.
	firstToken int
	stream     *stream
	transfer   cacheTransfer
	// missingBlocks is the number of prompt blocks that were not cached on arrival.
	missingBlocks int
}

// Engine is a simulated model engine with a queue, slots and a prefix cache.
type Engine struct {
	cfg         Config
	slots       *slots
	prefillLock chan struct{}
	journal     *journal
	// exports is a semaphore that limits concurrent exports.
	exports chan struct{}

	mu           sync.Mutex
	cache        *cache
	models       []observer.LoadedModel
	streams      map[string]*stream
	queuedBlocks int
	leaving      bool
	// limit is the limit that responses state, empty for none.
	limit string
	// retryAfter lists the Retry-After headers of the next requests, which are
	// refused.
	retryAfter []string
	placement  placementState
	stats      Stats
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
		cfg:         cfg,
		slots:       newSlots(cfg.Slots),
		prefillLock: make(chan struct{}, 1),
		exports:     make(chan struct{}, maxExports),
		journal:     newJournal(cfg.Incarnation),
		cache:       newCache(cfg.CacheBlocks),
		models:      slices.Clone(cfg.Models),
		streams:     make(map[string]*stream),
	}
}

// startJob registers the stream of j and runs j in the background. It stops an
// earlier stream with the same request ID.
func (e *Engine) startJob(ctx context.Context, j *job) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return errLeaving
	}
	model := observer.LoadedModel{Name: j.scope.Model, WeightsVersion: j.scope.WeightsVersion}
	if !slices.Contains(e.models, model) {
		return errWrongVersion
	}
	if previous := e.streams[j.stream.id]; previous != nil {
		previous.stop()
	}
	e.streams[j.stream.id] = j.stream
	j.missingBlocks = len(j.chain) - e.cache.countHeldPrefix(j.chain)
	e.queuedBlocks += j.missingBlocks
	e.stats.Requests++
	go e.runJob(ctx, j)
	return nil
}

// runJob waits for a slot, then runs the prefill and the decoding of j.
func (e *Engine) runJob(ctx context.Context, j *job) {
	defer e.scheduleStreamRemoval(j.stream)
	if err := e.slots.acquire(ctx, j.interactive); err != nil {
		e.removeQueuedBlocks(j)
		return
	}
	defer e.slots.release()
	e.importBlocks(ctx, j)
	promptUsage, err := e.computePrefill(ctx, j)
	if err != nil {
		return
	}
	e.exportBlocks(j)
	if e.cfg.CrashText != "" && strings.Contains(j.prompt, e.cfg.CrashText) {
		e.Crash()
		e.cfg.OnCrash()
		return
	}
	if e.decodeTokens(ctx, j) {
		j.stream.finish(promptUsage)
	}
}

// computePrefill computes the prompt blocks of j that are not cached. Only one
// job computes at a time.
func (e *Engine) computePrefill(ctx context.Context, j *job) (usage, error) {
	select {
	case e.prefillLock <- struct{}{}:
	case <-ctx.Done():
		e.removeQueuedBlocks(j)
		return usage{}, ctx.Err()
	}
	defer func() { <-e.prefillLock }()
	e.mu.Lock()
	held := e.cache.countHeldPrefix(j.chain)
	elsewhere := e.cfg.Registry.countHeld(j.chain[held:])
	e.mu.Unlock()
	missing := len(j.chain) - held
	err := Pause(ctx, time.Duration(missing+1)*e.cfg.PrefillPerBlock)
	e.removeQueuedBlocks(j)
	if err != nil {
		return usage{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.insertBlocks(j.scope, j.chain)
	e.stats.PromptBlocks += len(j.chain)
	e.stats.CachedBlocks += max(held-j.transfer.imported, 0)
	e.stats.RecomputedBlocks += elsewhere
	return usage{promptBytes: len(j.prompt), cachedBlocks: held}, nil
}

// decodeTokens generates the tokens of j and reports whether all were generated.
func (e *Engine) decodeTokens(ctx context.Context, j *job) bool {
	for n := j.firstToken; n < j.maxTokens; n++ {
		j.stream.appendToken(Token(j.prompt, j.scope.WeightsVersion, n))
		if err := Pause(ctx, e.cfg.TokenInterval); err != nil {
			return false
		}
	}
	return true
}

func (e *Engine) removeQueuedBlocks(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queuedBlocks -= j.missingBlocks
}

func (e *Engine) scheduleStreamRemoval(s *stream) {
	time.AfterFunc(finishedStreamRetention, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.streams[s.id] == s {
			delete(e.streams, s.id)
		}
	})
}

// findStream returns the stream of the request, or nil if there is none.
func (e *Engine) findStream(id string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[id]
}

// cancelStream stops the stream of the request and reports whether it was
// running. If attempt is not empty, the stream must belong to that attempt.
func (e *Engine) cancelStream(id, attempt string) bool {
	s := e.findStream(id)
	if s == nil || (attempt != "" && attempt != s.attempt) || !s.stop() {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Cancelled++
	return true
}

// Report returns the engine's status report.
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
		Loading:      slices.Clone(e.placement.loading),
	}
}

// Leave makes the engine refuse new requests and orders and sets Leaving in its
// reports. Jobs that were accepted before still run.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// ClearCache evicts all blocks of the cache and publishes the evictions.
func (e *Engine) ClearCache() {
	e.mu.Lock()
	defer e.mu.Unlock()
	evicted := e.cache.clear()
	e.cfg.Registry.update(nil, evicted)
	e.journal.addEvents(indexer.Evicted, evicted)
}

// Crash cancels every stream and removes the engine's blocks from the registry.
// The engine must not be used afterwards.
func (e *Engine) Crash() {
	e.Leave()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		s.cancel()
	}
	e.cfg.Registry.update(nil, e.cache.clear())
}

// Stats returns the counters of the engine.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}
