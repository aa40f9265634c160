package meter

import (
	"net/http"
	"strconv"
	"time"
)

// Handler returns a handler that records the count and the duration of the requests
// that next serves.
func (m *Meter) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		startedAt := time.Now()
		o := &observedWriter{ResponseWriter: w, meter: m, startedAt: startedAt}
		defer func() {
			m.Count(Requests, o.statusText(), 1)
			m.Observe(RequestSeconds, time.Since(startedAt))
		}()
		next.ServeHTTP(o, r)
	})
}

// observedWriter records the status of a response and the time to its first byte.
type observedWriter struct {
	http.ResponseWriter
	meter     *Meter
	startedAt time.Time
	status    int
	wroteBody bool
}

// WriteHeader implements http.ResponseWriter.
func (o *observedWriter) WriteHeader(status int) {
	if o.status == 0 {
		o.status = status
	}
	o.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (o *observedWriter) Write(data []byte) (int, error) {
	if !o.wroteBody {
		o.wroteBody = true
		o.meter.Observe(FirstByteSeconds, time.Since(o.startedAt))
	}
	return o.ResponseWriter.Write(data)
}

// Flush implements http.Flusher.
func (o *observedWriter) Flush() {
	_ = http.NewResponseController(o.ResponseWriter).Flush()
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (o *observedWriter) Unwrap() http.ResponseWriter { return o.ResponseWriter }

// statusText returns the status code as a label value. The status is 200 if the
// handler set none.
func (o *observedWriter) statusText() string {
	return strconv.Itoa(max(o.status, http.StatusOK))
}
