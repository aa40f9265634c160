package archiver

import (
	"encoding/json"
	"net/http"
)

// maxBodyBytes limits the size of a request or response body.
const maxBodyBytes = 1 << 20

// Handler returns the HTTP API of a Store.
func Handler(store *Store) http.Handler {
	s := server{store: store}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathImports, s.handleImport)
	mux.HandleFunc("POST "+PathExports, s.handleExport)
	return mux
}

type server struct {
	store *Store
}

func (s server) handleImport(w http.ResponseWriter, r *http.Request) {
	batch, ok := decodeBatch(w, r)
	if !ok {
		return
	}
	n, err := s.store.Import(r.Context(), batch.Scope(), batch.Held, batch.Blocks)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(ImportResponse{Blocks: n})
}

func (s server) handleExport(w http.ResponseWriter, r *http.Request) {
	batch, ok := decodeBatch(w, r)
	if !ok {
		return
	}
	if err := s.store.Export(r.Context(), batch.Scope(), batch.Blocks); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func decodeBatch(w http.ResponseWriter, r *http.Request) (Batch, bool) {
	var batch Batch
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&batch)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return batch, err == nil
}
