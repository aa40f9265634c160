// Package explainer keeps the most recent routing decisions of a router and
// serves them by request ID.
package explainer

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/failure/classifier"
)

// Event is the value of the log field "event" in a routing decision.
const Event = "route"

// Config configures an Explainer.
type Config struct {
	// Size is the maximum number of decisions kept, at least 1.
	Size int
}

// Explainer is a ring buffer of the most recent routing decisions. It receives
// them as a log hook, so that it serves exactly what was logged.
type Explainer struct {
	mu   sync.Mutex
	ring []Decision
	// next is the index of the oldest decision once the ring is full; the next
	// decision overwrites it.
	next int
}

var _ logrus.Hook = (*Explainer)(nil)

// New returns an empty Explainer.
func New(cfg Config) *Explainer {
	return &Explainer{ring: make([]Decision, 0, max(cfg.Size, 1))}
}

// Levels implements logrus.Hook.
func (e *Explainer) Levels() []logrus.Level { return []logrus.Level{logrus.InfoLevel} }

// Fire implements logrus.Hook. It ignores lines other than routing decisions.
func (e *Explainer) Fire(entry *logrus.Entry) error {
	if entry.Data["event"] != Event {
		return nil
	}
	d := Decision{"time": entry.Time}
	for name, value := range entry.Data {
		d[name] = value
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.ring) < cap(e.ring) {
		e.ring = append(e.ring, d)
		return nil
	}
	e.ring[e.next] = d
	e.next = (e.next + 1) % len(e.ring)
	return nil
}

// FindDecisions returns the decisions for a request, oldest first.
func (e *Explainer) FindDecisions(requestID string) []Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found []Decision
	for i := range e.ring {
		d := e.ring[(e.next+i)%len(e.ring)]
		if d.RequestID() == requestID {
			found = append(found, d)
		}
	}
	return found
}

// ServeHTTP serves GET /explain/{id}.
func (e *Explainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	found := e.FindDecisions(r.PathValue("id"))
	if len(found) == 0 {
		http.Error(w, string(classifier.NotFound)+": no decision for this request is kept", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(found)
}
