// Package disrupter injects faults between a test double and its clients.
package disrupter

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"gentianstep.example/gentianstep/internal/streaming/encoder"
)

// PathFaults is the path that accepts a JSON list of faults to inject.
const PathFaults = "/v1/control/faults"

// Disrupter is an http.Handler that wraps another one and injects faults into its
// responses.
type Disrupter struct {
	next http.Handler

	mu     sync.Mutex
	faults []Fault
}

// New returns a Disrupter without faults that wraps next.
func New(next http.Handler) *Disrupter {
	return &Disrupter{next: next}
}

// Inject adds faults. At most one fault applies to a request: the first one that
// matches it.
func (d *Disrupter) Inject(faults ...Fault) error {
	for _, f := range faults {
		if err := f.Check(); err != nil {
			return err
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = append(d.faults, faults...)
	return nil
}

// ServeHTTP implements http.Handler.
func (d *Disrupter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == PathFaults {
		d.handleFaults(w, r)
		return
	}
	f, ok := d.consumeFault(r)
	if !ok {
		d.next.ServeHTTP(w, r)
		return
	}
	if f.Place == BeforeRun {
		respondWithFault(w, r, f)
		return
	}
	out := &faultWriter{ResponseWriter: w, request: r, fault: f}
	if f.Place == AfterRun {
		d.next.ServeHTTP(discardWriter{header: make(http.Header)}, r)
		out.applyToResponse()
		return
	}
	d.next.ServeHTTP(out, r)
	out.finish()
}

// consumeFault returns the first fault that matches r and decrements its Times.
// The result is false if there is none.
func (d *Disrupter) consumeFault(r *http.Request) (Fault, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, f := range d.faults {
		if f.matches(r.Method, r.URL.Path) {
			d.faults[i].Times--
			return f, true
		}
	}
	return Fault{}, false
}

func (d *Disrupter) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults []Fault
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := d.Inject(faults...); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// respondWithFault applies f instead of calling the wrapped handler.
func respondWithFault(w http.ResponseWriter, r *http.Request, f Fault) {
	switch f.Kind {
	case Refuse, Leaving, HoldOff:
		if f.Kind == Leaving {
			w.Header().Set(encoder.HeaderLeaving, "true")
		}
		if f.HoldOff != "" {
			w.Header().Set("Retry-After", f.HoldOff)
		}
		w.Header().Set(encoder.HeaderNotRun, "true")
		http.Error(w, "refused", http.StatusServiceUnavailable)
	case Fail:
		http.Error(w, "failed", http.StatusInternalServerError)
	case Redirect:
		http.Redirect(w, r, r.URL.Path, http.StatusTemporaryRedirect)
	case Silent:
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	default:
		panic(http.ErrAbortHandler)
	}
}
