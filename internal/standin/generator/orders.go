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

// placementState is the state that placement orders change.
type placementState struct {
	loading []observer.LoadedModel
	// fencing is the highest fencing number of the accepted orders.
	fencing uint64
}

// maxOrderBytes limits the size of an order.
const maxOrderBytes = 64 << 10

func (s server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var m orderer.Message
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&m)
	if err == nil {
		err = m.Check()
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if refusal, refused := s.engine.ApplyOrder(time.Now(), m); refused {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(refusal)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// ApplyOrder accepts m and executes it, with a load of weights running in the
// background. If it refuses m, it returns the refusal and true.
func (e *Engine) ApplyOrder(now time.Time, m orderer.Message) (orderer.Refusal, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if reason := e.refusalReason(now, m); reason != "" {
		return orderer.Refusal{Reason: reason, FencingNumber: e.placement.fencing}, true
	}
	e.placement.fencing = max(e.placement.fencing, m.FencingNumber)
	loaded := observer.LoadedModel{Name: m.Model, WeightsVersion: m.WeightsVersion}
	if m.Action == planner.UnloadModel {
		e.models = slices.DeleteFunc(e.models, func(l observer.LoadedModel) bool { return l == loaded })
		return orderer.Refusal{}, false
	}
	if slices.Contains(e.models, loaded) || slices.Contains(e.placement.loading, loaded) {
		return orderer.Refusal{}, false
	}
	e.models = slices.DeleteFunc(e.models, func(l observer.LoadedModel) bool {
		old := planner.ModelVersion{Model: l.Name, WeightsVersion: l.WeightsVersion}
		return l.Name == m.Model || slices.Contains(m.Replace, old)
	})
	e.placement.loading = append(e.placement.loading, loaded)
	go (&weightsLoad{engine: e, model: loaded}).run(context.Background())
	return orderer.Refusal{}, false
}

// refusalReason returns the reason to refuse m, empty if m is accepted.
func (e *Engine) refusalReason(now time.Time, m orderer.Message) orderer.RefusalReason {
	checkConditions := !e.cfg.IgnoresConditions
	switch {
	case e.cfg.ChecksFencing && m.FencingNumber < e.placement.fencing:
		return orderer.OldFencing
	case checkConditions && now.After(m.Deadline):
		return orderer.PastDeadline
	case checkConditions && m.IfIncarnation != e.cfg.Incarnation:
		return orderer.OtherIncarnation
	case e.leaving:
		return orderer.EngineLeaving
	case len(e.placement.loading) > 0:
		return orderer.EngineBusy
	}
	return ""
}

// weightsLoad is a load of one version of a model's weights.
type weightsLoad struct {
	engine *Engine
	model  observer.LoadedModel
}

// run waits for the load time and marks the model as loaded.
func (l *weightsLoad) run(ctx context.Context) {
	e := l.engine
	store := e.cfg.WeightStore
	if store == nil {
		store = &WeightStore{}
	}
	err := Pause(ctx, store.beginLoad(e.cfg.LoadTime))
	store.endLoad()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.placement.loading = slices.DeleteFunc(e.placement.loading, func(m observer.LoadedModel) bool { return m == l.model })
	if err == nil {
		e.models = append(e.models, l.model)
	}
}
