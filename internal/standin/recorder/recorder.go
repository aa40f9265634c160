// Package recorder implements a stand-in for a plain HTTP service that records the
// calls it executes.
package recorder

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"

	"gentianstep.example/gentianstep/internal/streaming/encoder"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 1 << 20

// Entry describes one executed call.
type Entry struct {
	Number         int    `json:"number"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Body           string `json:"body"`
}

// Recorder is a plain HTTP service that executes and records every call.
type Recorder struct {
	name   string
	mu     sync.Mutex
	ledger []Entry
}

// New returns a Recorder with an empty ledger.
func New(name string) *Recorder {
	return &Recorder{name: name}
}

// Ledger returns the executed calls in order.
func (r *Recorder) Ledger() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Entry{}, r.ledger...)
}

// ServeHTTP implements http.Handler.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/v1/control/ledger" {
		writeJSON(w, r.Ledger())
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxBodyBytes))
	if err != nil {
		w.Header().Set(encoder.HeaderNotRun, "true")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	entry := r.record(request, string(body))
	w.Header().Set(encoder.HeaderRequestID, entry.RequestID)
	writeJSON(w, map[string]any{"service": r.name, "number": entry.Number})
}

func (r *Recorder) record(request *http.Request, body string) Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := Entry{
		Number:         len(r.ledger) + 1,
		Method:         request.Method,
		Path:           request.URL.Path,
		RequestID:      request.Header.Get(encoder.HeaderRequestID),
		IdempotencyKey: request.Header.Get(encoder.HeaderIdempotencyKey),
		Body:           body,
	}
	r.ledger = append(r.ledger, entry)
	return entry
}

func writeJSON(w http.ResponseWriter, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}
