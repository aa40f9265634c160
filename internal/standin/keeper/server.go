package keeper

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync"

	"gentianstep.example/gentianstep/internal/platform/storer"
)

// Paths of the endpoints with which tests inject faults, read call counts, and copy and
// restore the state.
const (
	PathFaults  = "/v1/control/faults"
	PathCalls   = "/v1/control/calls"
	PathCopy    = "/v1/control/copy"
	PathRestore = "/v1/control/restore"
)

// Handler serves a Keeper over HTTP. Faults set through PathFaults apply to the
// key-value endpoints.
func Handler(k *Keeper) http.Handler {
	s := &server{keeper: k, store: NewFaulty(k), copied: k.State()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+storer.PathKeys+"{key}", s.get)
	mux.HandleFunc("PUT "+storer.PathKeys+"{key}", s.put)
	mux.HandleFunc("DELETE "+storer.PathKeys+"{key}", s.remove)
	mux.HandleFunc("GET "+storer.PathWatch+"{key}", s.watch)
	mux.HandleFunc("GET "+storer.PathList+"{prefix...}", s.list)
	mux.HandleFunc("POST "+storer.PathLeases, s.grant)
	mux.HandleFunc("PUT "+storer.PathLeases+"/{id}", s.renew)
	mux.HandleFunc("DELETE "+storer.PathLeases+"/{id}", s.revoke)
	mux.HandleFunc("GET "+storer.PathVMs, s.vms)
	mux.HandleFunc("PUT "+storer.PathVMs, s.setVMs)
	mux.HandleFunc("PUT "+PathFaults, s.setFaults)
	mux.HandleFunc("GET "+PathCalls, s.calls)
	mux.HandleFunc("POST "+PathCopy, s.copyState)
	mux.HandleFunc("POST "+PathRestore, s.restoreState)
	return mux
}

type server struct {
	keeper *Keeper
	store  *Faulty

	mu sync.Mutex
	// copied is the state that was copied last, at first that of the start.
	copied State
}

// copyState copies the state, to be restored later.
func (s *server) copyState(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = s.keeper.State()
	writeResponse(w, struct{}{}, nil)
}

// restoreState replaces the state by the copy.
func (s *server) restoreState(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.Restore(s.copied)
	writeResponse(w, struct{}{}, nil)
}

func (s *server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !decodeRequest(w, r, &faults) {
		return
	}
	s.store.Set(faults)
	writeResponse(w, struct{}{}, nil)
}

func (s *server) calls(w http.ResponseWriter, _ *http.Request) {
	writeResponse(w, s.store.Calls(), nil)
}

func (s *server) get(w http.ResponseWriter, r *http.Request) {
	entry, err := s.store.Get(r.Context(), r.PathValue("key"))
	writeResponse(w, entry, err)
}

func (s *server) put(w http.ResponseWriter, r *http.Request) {
	var body storer.PutRequest
	if !decodeRequest(w, r, &body) {
		return
	}
	opts := storer.PutOptions{IfVersion: storer.Version{Revision: body.IfRevision}, LeaseID: body.LeaseID}
	version, err := s.store.Put(r.Context(), r.PathValue("key"), body.Value, opts)
	writeResponse(w, storer.PutResponse{Revision: version.Revision}, err)
}

func (s *server) remove(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseUint(r.URL.Query().Get("if_revision"), 10, 64)
	if err != nil {
		http.Error(w, "if_revision: takes a number", http.StatusBadRequest)
		return
	}
	writeResponse(w, struct{}{}, s.store.Delete(r.Context(), r.PathValue("key"), storer.Version{Revision: revision}))
}

func (s *server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: takes a number", http.StatusBadRequest)
		return
	}
	entry, err := s.store.Watch(r.Context(), r.PathValue("key"), storer.Version{Revision: after})
	writeResponse(w, entry, err)
}

func (s *server) list(w http.ResponseWriter, r *http.Request) {
	entries, err := s.store.List(r.Context(), r.PathValue("prefix"))
	writeResponse(w, entries, err)
}

func (s *server) grant(w http.ResponseWriter, r *http.Request) {
	var body storer.GrantRequest
	if !decodeRequest(w, r, &body) {
		return
	}
	lease, err := s.store.Grant(r.Context(), body.TTL())
	writeResponse(w, lease, err)
}

func (s *server) renew(w http.ResponseWriter, r *http.Request) {
	lease, err := s.store.Renew(r.Context(), requestedLease(r))
	writeResponse(w, lease, err)
}

func (s *server) revoke(w http.ResponseWriter, r *http.Request) {
	writeResponse(w, struct{}{}, s.store.Revoke(r.Context(), requestedLease(r)))
}

func (s *server) vms(w http.ResponseWriter, r *http.Request) {
	vms, err := s.keeper.VMs(r.Context())
	writeResponse(w, vms, err)
}

func (s *server) setVMs(w http.ResponseWriter, r *http.Request) {
	var vms []storer.VM
	if !decodeRequest(w, r, &vms) {
		return
	}
	s.keeper.SetVMs(vms)
	writeResponse(w, struct{}{}, nil)
}

// requestedLease returns the lease with the ID in the path, or 0 if it isn't a number.
func requestedLease(r *http.Request) storer.Lease {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		return storer.Lease{}
	}
	return storer.Lease{ID: id}
}

func decodeRequest(w http.ResponseWriter, r *http.Request, body any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*storer.MaxValueBytes)).Decode(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeResponse(w http.ResponseWriter, body any, err error) {
	if errors.Is(err, ErrResponseLost) {
		panic(http.ErrAbortHandler)
	}
	status := statusCode(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if status == http.StatusNotModified {
		return
	}
	if err != nil {
		body = map[string]string{"error": err.Error()}
	}
	_ = json.NewEncoder(w).Encode(body)
}

func statusCode(err error) int {
	switch {
	case err == nil:
		return http.StatusOK
	case errors.Is(err, storer.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, storer.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, storer.ErrLeaseGone):
		return http.StatusGone
	case errors.Is(err, storer.ErrNotChanged):
		return http.StatusNotModified
	case errors.Is(err, storer.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, storer.ErrRateLimited):
		return http.StatusTooManyRequests
	case errors.Is(err, ErrUnavailable):
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}
