package generator

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"gentianstep.example/gentianstep/internal/placement/orderer"
	"gentianstep.example/gentianstep/internal/placement/planner"
	"gentianstep.example/gentianstep/internal/upstream/observer"
)

// placing is what an engine knows of placement orders.
type placing struct {
	loading []observer.LoadedModel
	// fencing is the highest fencing number seen.
	fencing uint64
}

// maxOrderBytes bounds one order.
const maxOrderBytes = 64 << 10

func (s server) order(w http.ResponseWriter, r *http.Request) {
	var m orderer.Message
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&m)
	if err == nil {
		err = m.Validate()
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if refusal, refused := s.engine.Order(time.Now(), m); refused {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(refusal)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// Order carries m out in the background or refuses it.
func (e *Engine) Order(now time.Time, m orderer.Message) (orderer.Refusal, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if reason := e.refuses(now, m); reason != "" {
		return orderer.Refusal{Reason: reason, FencingNumber: e.placing.fencing}, true
	}
	e.placing.fencing = max(e.placing.fencing, m.FencingNumber)
	loaded := observer.LoadedModel{Name: m.Model, WeightsVersion: m.WeightsVersion}
	if m.Action == planner.UnloadModel {
		e.models = slices.DeleteFunc(e.models, func(l observer.LoadedModel) bool { return l == loaded })
		return orderer.Refusal{}, false
	}
	if slices.Contains(e.models, loaded) || slices.Contains(e.placing.loading, loaded) {
		return orderer.Refusal{}, false
	}
	e.models = slices.DeleteFunc(e.models, func(l observer.LoadedModel) bool {
		old := planner.ModelVersion{Model: l.Name, WeightsVersion: l.WeightsVersion}
		return l.Name == m.Model || slices.Contains(m.Replace, old)
	})
	e.placing.loading = append(e.placing.loading, loaded)
	go (&load{engine: e, model: loaded}).run(context.Background())
	return orderer.Refusal{}, false
}

// refuses returns why m is refused, nothing where it is not.
func (e *Engine) refuses(now time.Time, m orderer.Message) orderer.RefusalReason {
	conditions := !e.cfg.IgnoresConditions
	switch {
	case e.cfg.ChecksFencing && m.FencingNumber < e.placing.fencing:
		return orderer.OldFencing
	case conditions && now.After(m.Deadline):
		return orderer.PastDeadline
	case conditions && m.IfIncarnation != e.cfg.Incarnation:
		return orderer.OtherIncarnation
	case e.leaving:
		return orderer.EngineLeaving
	case len(e.placing.loading) > 0:
		return orderer.EngineBusy
	}
	return ""
}

// load is one load of weights.
type load struct {
	engine *Engine
	model  observer.LoadedModel
}

// run makes the model ready once its weights have arrived.
func (l *load) run(ctx context.Context) {
	e := l.engine
	weights := e.cfg.Weights
	if weights == nil {
		weights = &Weights{}
	}
	err := Pause(ctx, weights.begin(e.cfg.LoadTime))
	weights.end()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.placing.loading = slices.DeleteFunc(e.placing.loading, func(m observer.LoadedModel) bool { return m == l.model })
	if err == nil {
		e.models = append(e.models, l.model)
	}
}
