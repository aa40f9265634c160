package generator

import (
	"errors"
	"net/http"
	"strconv"

	"gentianstep.example/gentianstep/internal/streaming/encoder"
)

// errHoldOff is the reason of a refusal that asks for a hold-off.
var errHoldOff = errors.New("engine wants no requests for now")

// RefuseNext makes the engine refuse one request of any kind for each value, with
// that Retry-After header.
func (e *Engine) RefuseNext(retryAfter ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retryAfter = append(e.retryAfter, retryAfter...)
}

// SetLimit sets the limit that the responses to all further requests state, in requests a
// second; an empty value states none.
func (e *Engine) SetLimit(perSecond string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = perSecond
}

func (e *Engine) statedLimit() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limit
}

// takeRefusal returns the Retry-After header of a request to refuse, empty if the
// request is served, and whether the engine is leaving.
func (e *Engine) takeRefusal() (retryAfter string, leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.retryAfter) > 0 {
		retryAfter, e.retryAfter = e.retryAfter[0], e.retryAfter[1:]
	}
	return retryAfter, e.leaving
}

// identify copies the request ID and the attempt of each request into the response
// headers, and adds what the engine states about itself.
func (s server) identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, name := range []string{encoder.HeaderRequestID, encoder.HeaderAttempt} {
			if value := r.Header.Get(name); value != "" {
				w.Header().Set(name, value)
			}
		}
		w.Header().Set(encoder.HeaderIncarnation, strconv.FormatUint(s.engine.cfg.Incarnation, 10))
		retryAfter, leaving := s.engine.takeRefusal()
		if leaving {
			w.Header().Set(encoder.HeaderLeaving, "true")
		}
		if limit := s.engine.statedLimit(); limit != "" {
			w.Header().Set(encoder.HeaderLimit, limit)
		}
		if retryAfter != "" {
			w.Header().Set("Retry-After", retryAfter)
			writeRefusal(w, http.StatusServiceUnavailable, errHoldOff)
			return
		}
		next.ServeHTTP(w, r)
	})
}
