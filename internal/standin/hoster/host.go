package hoster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"gentianstep.example/gentianstep/internal/standin/generator"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

const headerTimeout = 5 * time.Second

// Host runs the simulated engines of a plan.
type Host struct {
	plan     Plan
	model    string
	registry *generator.Registry

	mu           sync.Mutex
	engines      []*runningEngine
	crashedStats generator.Stats
}

// runningEngine is a running engine and its HTTP server.
type runningEngine struct {
	engine *generator.Engine
	server *http.Server
}

// NewHost returns a Host that has not started its engines.
func NewHost(plan Plan, model string) *Host {
	return &Host{plan: plan, model: model, registry: generator.NewRegistry()}
}

// Start starts all engines of the plan.
func (h *Host) Start(ctx context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.plan.Engines {
		running, err := h.startEngine(ctx, e)
		if err != nil {
			return err
		}
		h.engines = append(h.engines, running)
	}
	return nil
}

func (h *Host) startEngine(ctx context.Context, e EnginePlan) (*runningEngine, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", e.Address.String())
	if err != nil {
		return nil, fmt.Errorf("listen for engine %q: %w", e.Name, err)
	}
	engine := generator.New(generator.Config{
		Name:            e.Name,
		Models:          []observer.LoadedModel{{Name: h.model, WeightsVersion: "w1"}},
		Slots:           h.plan.Slots,
		CacheBlocks:     h.plan.CacheBlocks,
		PrefillPerBlock: h.plan.PrefillPerBlock,
		TokenInterval:   h.plan.TokenInterval,
		EventDelay:      h.plan.EventDelay,
		Registry:        h.registry,
		Incarnation:     uint64(time.Now().UnixNano()),
	})
	r := &runningEngine{
		engine: engine,
		server: &http.Server{Handler: generator.Handler(engine), ReadHeaderTimeout: headerTimeout},
	}
	go r.serve(listener)
	return r, nil
}

func (r *runningEngine) serve(listener net.Listener) {
	err := r.server.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) {
		fmt.Println("serve engine:", err)
	}
}

// Stats returns the sum of the counters of all engines, including crashed ones.
func (h *Host) Stats() generator.Stats {
	h.mu.Lock()
	defer h.mu.Unlock()
	sum := h.crashedStats
	for _, r := range h.engines {
		sum = sum.Add(r.engine.Stats())
	}
	return sum
}

// ClearCaches evicts all blocks from the caches of all engines.
func (h *Host) ClearCaches() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.engines {
		r.engine.ClearCache()
	}
}

// CrashEngines crashes every step-th engine and restarts it with an empty cache
// at the same address.
func (h *Host) CrashEngines(ctx context.Context, step int) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := 0; i < len(h.engines); i += step {
		old := h.engines[i]
		old.engine.Crash()
		_ = old.server.Close()
		h.crashedStats = h.crashedStats.Add(old.engine.Stats())
		r, err := h.startEngine(ctx, h.plan.Engines[i])
		if err != nil {
			return err
		}
		h.engines[i] = r
	}
	return nil
}

// crashStep is the step of POST /crash: one of crashStep engines crashes.
const crashStep = 10

// Handler returns the HTTP API that controls the host.
func (h *Host) Handler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(h.Stats())
	})
	mux.HandleFunc("POST /clear", func(w http.ResponseWriter, _ *http.Request) {
		h.ClearCaches()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /crash", func(w http.ResponseWriter, _ *http.Request) {
		if err := h.CrashEngines(ctx, crashStep); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}
