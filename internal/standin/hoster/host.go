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

// Host runs the engines of a plan.
type Host struct {
	plan     Plan
	model    string
	registry *generator.Registry

	mu      sync.Mutex
	engines []*hosted
	past    generator.Stats
}

// hosted is one running engine with its listener.
type hosted struct {
	engine *generator.Engine
	server *http.Server
}

// NewHost returns a Host of no running engine.
func NewHost(plan Plan, model string) *Host {
	return &Host{plan: plan, model: model, registry: generator.NewRegistry()}
}

// Start starts every engine.
func (h *Host) Start(ctx context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.plan.Engines {
		running, err := h.start(ctx, e)
		if err != nil {
			return err
		}
		h.engines = append(h.engines, running)
	}
	return nil
}

func (h *Host) start(ctx context.Context, e EnginePlan) (*hosted, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", e.Address.String())
	if err != nil {
		return nil, fmt.Errorf("engine %s: %w", e.Name, err)
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
	r := &hosted{
		engine: engine,
		server: &http.Server{Handler: generator.Handler(engine), ReadHeaderTimeout: headerTimeout},
	}
	go r.run(listener)
	return r, nil
}

func (r *hosted) run(listener net.Listener) {
	err := r.server.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) {
		fmt.Println("engine stopped:", err)
	}
}

// Stats returns the sum of the counters of all engines, crashed ones included.
func (h *Host) Stats() generator.Stats {
	h.mu.Lock()
	defer h.mu.Unlock()
	sum := h.past
	for _, r := range h.engines {
		sum = sum.Add(r.engine.Stats())
	}
	return sum
}

// Clear empties every cache.
func (h *Host) Clear() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.engines {
		r.engine.Clear()
	}
}

// Crash kills every step-th engine and starts it again, empty, at its address.
func (h *Host) Crash(ctx context.Context, step int) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := 0; i < len(h.engines); i += step {
		old := h.engines[i]
		old.engine.Crash()
		_ = old.server.Close()
		h.past = h.past.Add(old.engine.Stats())
		r, err := h.start(ctx, h.plan.Engines[i])
		if err != nil {
			return err
		}
		h.engines[i] = r
	}
	return nil
}

// crashStep is the share of engines that one crash call kills, as one in so many.
const crashStep = 10

// Handler serves the control of the host.
func (h *Host) Handler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(h.Stats())
	})
	mux.HandleFunc("POST /clear", func(w http.ResponseWriter, _ *http.Request) {
		h.Clear()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /crash", func(w http.ResponseWriter, _ *http.Request) {
		if err := h.Crash(ctx, crashStep); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}
