package starter

import (
	"net/http"
	"sync/atomic"
)

// drainState records whether the process is draining before it exits.
type drainState struct {
	stopping atomic.Bool
}

// middleware sets "Connection: close" on responses while the process is
// draining. The balancer's keep-alive connections are then closed after a
// response, and not when the balancer is about to send the next request.
func (d *drainState) middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
