package starter

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// finalResponseShare is the part of the drain timeout in which final responses are
	// written, at most maxFinalResponseTime.
	finalResponseShare   = 0.125
	maxFinalResponseTime = 500 * time.Millisecond
)

var (
	// errStopped ends the requests that are open when the drain timeout is nearly over.
	errStopped = errors.New("the process has stopped")
	// errRequestsCut is returned if a drain has ended requests.
	errRequestsCut = errors.New("requests did not end in time")
)

// drainState records whether the process is draining before it exits.
type drainState struct {
	stopping atomic.Bool
	// ended is cancelled with errStopped when open requests get their final response.
	ended context.Context //nolint:containedctx // It ends with the process.
	end   context.CancelCauseFunc
	// cut counts the requests that had not ended by then.
	cut atomic.Int64
}

func newDrainState() *drainState {
	d := &drainState{}
	d.ended, d.end = context.WithCancelCause(context.Background())
	return d
}

// endAfter ends the open requests before a drain that lasts for timeout is over. The returned
// function releases the timer.
func (d *drainState) endAfter(timeout time.Duration) func() {
	timer := time.AfterFunc(timeout-shareOf(timeout, finalResponseShare, maxFinalResponseTime), func() { d.end(errStopped) })
	return func() { timer.Stop() }
}

// middleware sets "Connection: close" on responses while the process is
// draining. The balancer's keep-alive connections are then closed after a
// response, and not when the balancer is about to send the next request. Requests that are
// open when the drain ends are cancelled with errStopped.
func (d *drainState) middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		ctx, cancel := context.WithCancelCause(r.Context())
		stop := context.AfterFunc(d.ended, func() {
			d.cut.Add(1)
			cancel(errStopped)
		})
		defer func() {
			stop()
			cancel(nil)
		}()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}
