package generator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// events streams the cache events after a sequence number, one JSON object a
// line. A reader of another incarnation starts at the first event kept.
func (s server) events(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	incarnation, _ := strconv.ParseUint(query.Get("incarnation"), 10, 64)
	if incarnation != s.engine.cfg.Incarnation {
		after = 0
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	controller := http.NewResponseController(w)
	encode := json.NewEncoder(w)
	if controller.Flush() != nil {
		return
	}
	for {
		events, err := s.engine.journal.next(r.Context(), after)
		if err != nil {
			return
		}
		if Pause(r.Context(), s.engine.cfg.EventDelay) != nil {
			return
		}
		for _, e := range events {
			after = e.Seq
			if encode.Encode(e) != nil {
				return
			}
		}
		if controller.Flush() != nil {
			return
		}
	}
}

// defaultEventDelay is how late cache events are published.
const defaultEventDelay = 50 * time.Millisecond
