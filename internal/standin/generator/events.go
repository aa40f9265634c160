package generator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// streamEvents streams the cache events after a sequence number as one JSON
// object per line. A client that last read from another incarnation gets all
// retained events.
func (s server) streamEvents(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	incarnation, _ := strconv.ParseUint(query.Get("incarnation"), 10, 64)
	if incarnation != s.engine.cfg.Incarnation {
		after = 0
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	controller := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	if controller.Flush() != nil {
		return
	}
	for {
		events, err := s.engine.journal.waitForEvents(r.Context(), after)
		if err != nil {
			return
		}
		if Pause(r.Context(), s.engine.cfg.EventDelay) != nil {
			return
		}
		for _, e := range events {
			after = e.Seq
			if encoder.Encode(e) != nil {
				return
			}
		}
		if controller.Flush() != nil {
			return
		}
	}
}

// defaultEventDelay is the event delay if Config.EventDelay is 0.
const defaultEventDelay = 50 * time.Millisecond
