package generator

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/caching/indexer"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

const (
	// exportTimeout limits the duration of an export.
	exportTimeout = 2 * time.Second
	// maxExports limits the number of concurrent exports. Further ones are skipped.
	maxExports = 4
)

// CacheStore is the external cache store that an engine imports blocks from and
// exports blocks to.
type CacheStore interface {
	// Import imports the blocks of chain after the first held ones. It returns
	// the number of leading blocks of chain that the engine then has.
	Import(ctx context.Context, scope hasher.Scope, held int, chain []hasher.Hash) (int, error)
	// Export sends the blocks of chain to the store.
	Export(ctx context.Context, scope hasher.Scope, chain []hasher.Hash) error
}

// cacheTransfer holds the imports and exports that the router asked for with a
// request, and their outcome.
type cacheTransfer struct {
	// importBlocks is the number of leading blocks to import if they are not cached.
	importBlocks int
	export       bool
	// imported is the number of blocks that were imported.
	imported int
}

// parseCacheTransfer reads the headers for cache imports and exports. An invalid
// number of blocks counts as 0.
func parseCacheTransfer(h http.Header) cacheTransfer {
	n, err := strconv.Atoi(h.Get(encoder.HeaderImportBlocks))
	if err != nil || n < 0 {
		n = 0
	}
	return cacheTransfer{importBlocks: n, export: h.Get(encoder.HeaderExport) == "true"}
}

// importBlocks imports the leading blocks of j that are not cached. It waits no
// longer than computing them would take. Blocks that are not imported are
// computed.
func (e *Engine) importBlocks(ctx context.Context, j *job) {
	chain := j.chain[:min(j.transfer.importBlocks, len(j.chain))]
	e.mu.Lock()
	held := e.cache.countHeldPrefix(chain)
	e.mu.Unlock()
	if e.cfg.CacheStore == nil || held == len(chain) {
		return
	}
	timeout := time.Duration(len(chain)-held) * e.cfg.PrefillPerBlock
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	n, err := e.cfg.CacheStore.Import(ctx, j.scope, held, chain)
	if err != nil || n <= held || n > len(chain) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.insertBlocks(j.scope, chain[:n])
	j.transfer.imported = n - held
	e.stats.ImportedBlocks += n - held
}

// insertBlocks adds the blocks of chain to the cache and publishes the changes.
// The caller must hold e.mu.
func (e *Engine) insertBlocks(scope hasher.Scope, chain []hasher.Hash) {
	model := observer.LoadedModel{Name: scope.Model, WeightsVersion: scope.WeightsVersion}
	stored, evicted := e.cache.insert(model, chain)
	e.cfg.Registry.update(stored, evicted)
	e.journal.addEvents(indexer.Stored, stored)
	e.journal.addEvents(indexer.Evicted, evicted)
}

// exportBlocks sends the blocks of j to the store in the background if the
// router asked for it. It skips the export if maxExports are running.
func (e *Engine) exportBlocks(j *job) {
	if !j.transfer.export || e.cfg.CacheStore == nil || len(j.chain) == 0 {
		return
	}
	select {
	case e.exports <- struct{}{}:
		x := export{engine: e, scope: j.scope, chain: j.chain}
		go x.run()
	default:
	}
}

// export is a running export of prompt blocks.
type export struct {
	engine *Engine
	scope  hasher.Scope
	chain  []hasher.Hash
}

func (x export) run() {
	defer func() { <-x.engine.exports }()
	ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
	defer cancel()
	if x.engine.cfg.CacheStore.Export(ctx, x.scope, x.chain) != nil {
		return
	}
	x.engine.mu.Lock()
	defer x.engine.mu.Unlock()
	x.engine.stats.ExportedBlocks += len(x.chain)
}
