// Package disrupter puts faults between a stand-in and its clients.
package disrupter

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"gentianstep.example/gentianstep/internal/streaming/encoder"
)

// PathFaults takes a list of faults by POST.
const PathFaults = "/v1/control/faults"

// Disrupter serves a handler and lets faults strike its answers.
type Disrupter struct {
	next http.Handler

	mu     sync.Mutex
	faults []Fault
}

// New returns a Disrupter without faults around next.
func New(next http.Handler) *Disrupter {
	return &Disrupter{next: next}
}

// Inject adds faults. The first one that picks a request strikes it.
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
		d.take(w, r)
		return
	}
	f, ok := d.strike(r)
	if !ok {
		d.next.ServeHTTP(w, r)
		return
	}
	if f.Place == BeforeRun {
		before(w, r, f)
		return
	}
	out := &writer{ResponseWriter: w, request: r, fault: f}
	if f.Place == AfterRun {
		d.next.ServeHTTP(discard{header: make(http.Header)}, r)
		out.act()
		return
	}
	d.next.ServeHTTP(out, r)
	out.finish()
}

// strike returns the fault for a request, used up by one.
func (d *Disrupter) strike(r *http.Request) (Fault, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, f := range d.faults {
		if f.picks(r.Method, r.URL.Path) {
			d.faults[i].Times--
			return f, true
		}
	}
	return Fault{}, false
}

func (d *Disrupter) take(w http.ResponseWriter, r *http.Request) {
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

// before lets f strike a request that the handler never sees.
func before(w http.ResponseWriter, r *http.Request, f Fault) {
	switch f.Kind {
	case Refuse:
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
