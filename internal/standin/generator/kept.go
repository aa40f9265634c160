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
	// exportTimeout bounds one export.
	exportTimeout = 2 * time.Second
	// maxExports bounds the exports side by side; more are left out.
	maxExports = 4
)

// KeptStore is the store of kept cache that an engine imports from.
type KeptStore interface {
	// Import returns how many leading blocks of chain the engine has once it
	// took those from held on.
	Import(ctx context.Context, scope hasher.Scope, held int, chain []hasher.Hash) (int, error)
	// Export hands the blocks of chain to the store.
	Export(ctx context.Context, scope hasher.Scope, chain []hasher.Hash) error
}

// kept is what a router asked for a request about kept cache.
type kept struct {
	// importBlocks is the number of leading blocks to import where they miss.
	importBlocks int
	export       bool
	// imported is the number of blocks that were imported.
	imported int
}

// keptOf reads the headers about kept cache. What cannot be read asks for nothing.
func keptOf(h http.Header) kept {
	n, err := strconv.Atoi(h.Get(encoder.HeaderImportBlocks))
	if err != nil || n < 0 {
		n = 0
	}
	return kept{importBlocks: n, export: h.Get(encoder.HeaderExport) == "true"}
}

// importKept imports leading blocks of j that the cache lacks. It waits no
// longer than it takes to compute them. Whatever is not imported is computed.
func (e *Engine) importKept(ctx context.Context, j *job) {
	chain := j.chain[:min(j.kept.importBlocks, len(j.chain))]
	e.mu.Lock()
	held := e.cache.held(chain)
	e.mu.Unlock()
	if e.cfg.Kept == nil || held == len(chain) {
		return
	}
	bound := time.Duration(len(chain)-held) * e.cfg.PrefillPerBlock
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	n, err := e.cfg.Kept.Import(ctx, j.scope, held, chain)
	if err != nil || n <= held || n > len(chain) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.store(j.scope, chain[:n])
	j.kept.imported = n - held
	e.stats.ImportedBlocks += n - held
}

// store puts the blocks of chain into the cache and says so in events. The
// caller holds the lock.
func (e *Engine) store(scope hasher.Scope, chain []hasher.Hash) {
	model := observer.LoadedModel{Name: scope.Model, WeightsVersion: scope.WeightsVersion}
	stored, evicted := e.cache.store(model, chain)
	e.cfg.Registry.change(stored, evicted)
	e.journal.add(indexer.Stored, stored)
	e.journal.add(indexer.Evicted, evicted)
}

// exportKept hands the blocks of j to the store in the background, where the
// router asked for it and few enough exports are on their way.
func (e *Engine) exportKept(j *job) {
	if !j.kept.export || e.cfg.Kept == nil || len(j.chain) == 0 {
		return
	}
	select {
	case e.exports <- struct{}{}:
		x := export{engine: e, scope: j.scope, chain: j.chain}
		go x.run()
	default:
	}
}

// export is one export on its way.
type export struct {
	engine *Engine
	scope  hasher.Scope
	chain  []hasher.Hash
}

func (x export) run() {
	defer func() { <-x.engine.exports }()
	ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
	defer cancel()
	if x.engine.cfg.Kept.Export(ctx, x.scope, x.chain) != nil {
		return
	}
	x.engine.mu.Lock()
	defer x.engine.mu.Unlock()
	x.engine.stats.ExportedBlocks += len(x.chain)
}
