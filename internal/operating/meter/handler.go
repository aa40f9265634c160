package meter

import (
	"net/http"
	"strconv"
	"time"
)

// Handler counts and times the requests that next serves.
func (m *Meter) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		begin := time.Now()
		o := &observedWriter{ResponseWriter: w, meter: m, begin: begin}
		defer func() {
			m.Count(Requests, o.statusText(), 1)
			m.Observe(RequestSeconds, time.Since(begin))
		}()
		next.ServeHTTP(o, r)
	})
}

// observedWriter notes the status and the first byte of an answer.
type observedWriter struct {
	http.ResponseWriter
	meter  *Meter
	begin  time.Time
	status int
	begun  bool
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
	if !o.begun {
		o.begun = true
		o.meter.Observe(FirstByteSeconds, time.Since(o.begin))
	}
	return o.ResponseWriter.Write(data)
}

// Flush implements http.Flusher.
func (o *observedWriter) Flush() {
	_ = http.NewResponseController(o.ResponseWriter).Flush()
}

// Unwrap serves http.ResponseController.
func (o *observedWriter) Unwrap() http.ResponseWriter { return o.ResponseWriter }

func (o *observedWriter) statusText() string {
	return strconv.Itoa(max(o.status, http.StatusOK))
}
