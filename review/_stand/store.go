package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gentianstep.example/gentianstep/internal/platform/storer"
	"gentianstep.example/gentianstep/internal/standin/keeper"
)

// pageSize is the number of items of a page of a range.
const pageSize = 500

// store is the platform's store, without disruptions and rate limits.
type store struct{ keeper *keeper.Keeper }

func newStore() *store { return &store{keeper: keeper.New()} }

// put writes a key whatever its revision, as the operator and workers do.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	for errors.Is(s.tryPut(key, data), storer.ErrConflict) {
	}
}

func (s *store) tryPut(key string, data []byte) error {
	current, err := s.keeper.Get(context.Background(), key)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return err
	}
	_, err = s.keeper.Put(context.Background(), key, data, storer.PutOptions{IfVersion: current.Version()})
	return err
}

// remove removes a key if it exists.
func (s *store) remove(key string) {
	for {
		current, err := s.keeper.Get(context.Background(), key)
		if err != nil || !errors.Is(s.keeper.Delete(context.Background(), key, current.Version()), storer.ErrConflict) {
			return
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	leaseID := func(prefix string) uint64 {
		id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, prefix), 10, 64) // 0 is no lease
		return id
	}
	switch path := r.URL.Path; {
	case path == "/api/kv-key":
		s.serveKey(w, r)
	case path == "/api/kv-range":
		s.serveRange(w, r)
	case path == "/api/kv-watch":
		s.serveWatch(w, r)
	case path == "/api/kv-txn":
		s.serveTransaction(w, r)
	case path == "/api/kv-lease":
		s.serveGrant(w, r)
	case strings.HasPrefix(path, "/api/kv-keep/"):
		lease, err := s.keeper.Renew(r.Context(), storer.Lease{ID: leaseID("/api/kv-keep/")})
		if err != nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, map[string]int64{"ttl_ms": time.Until(lease.Deadline).Milliseconds()})
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		if s.keeper.Revoke(r.Context(), storer.Lease{ID: leaseID("/api/kv-lease-end/")}) != nil {
			w.WriteHeader(http.StatusNotFound)
		}
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// item is an item of the store, or its removal.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

func newItem(c storer.Change) item {
	return item{Key: c.Key, Value: c.Value, Revision: c.Revision, Created: c.Revision, Lease: c.LeaseID, Removed: c.Removed}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	entry, err := s.keeper.Get(r.Context(), r.URL.Query().Get("key"))
	if err != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, newItem(storer.Change{Entry: entry}))
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	entries, revision := s.keeper.Snapshot(query.Get("prefix"))
	page := struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"has_more"`
		Current uint64 `json:"current_rev"`
	}{Items: []item{}, Current: revision}
	for _, e := range entries {
		if e.Key <= query.Get("after") {
			continue
		}
		if len(page.Items) == pageSize {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, newItem(storer.Change{Entry: e}))
	}
	writeJSON(w, page)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		changes, err := s.keeper.Changes(query.Get("prefix"), after)
		if err != nil || after > changes.Revision {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(changes.Found) > 0 || !waiting {
			events := make([]item, 0, len(changes.Found))
			for _, c := range changes.Found {
				events = append(events, newItem(c))
			}
			writeJSON(w, map[string]any{"events": events, "current_rev": changes.Revision})
			return
		}
		select {
		case <-changes.Next:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// serveTransaction carries out a transaction of one entry; gateways send no others.
func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []item   `json:"expected"`
		Puts     []item   `json:"puts"`
		Remove   []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Expected) != 1 || len(t.Puts)+len(t.Remove) != 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, read := context.WithoutCancel(r.Context()), storer.Version{Revision: t.Expected[0].Revision}
	var version storer.Version
	var err error
	if len(t.Puts) == 1 {
		version, err = s.keeper.Put(ctx, t.Puts[0].Key, t.Puts[0].Value, storer.PutOptions{IfVersion: read, LeaseID: t.Puts[0].Lease})
	} else {
		err = s.keeper.Delete(ctx, t.Remove[0], read)
	}
	switch {
	case errors.Is(err, storer.ErrLeaseGone):
		w.WriteHeader(http.StatusNotFound)
	case err != nil:
		w.WriteHeader(http.StatusPreconditionFailed)
	default:
		writeJSON(w, map[string]uint64{"revision": version.Revision})
	}
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var term struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&term) != nil || term.TTLMS <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	lease, err := s.keeper.Grant(r.Context(), time.Duration(term.TTLMS)*time.Millisecond)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, map[string]any{"lease": lease.ID, "ttl_ms": term.TTLMS})
}
