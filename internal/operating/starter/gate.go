package starter

import (
	"net/http"
	"sync/atomic"
)

// gate tells whether the process goes on taking work.
type gate struct {
	stopping atomic.Bool
}

// handler asks callers to use another connection once the process stops, so
// that the balancer's idle connections end with an answer and not in between.
func (g *gate) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
