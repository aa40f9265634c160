package limiter

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/operating/reserver"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
)

// connKey is the context key of the connection of a request.
type connKey struct{}

// ConnContext is a callback for http.Server.ConnContext. It stores the connection
// in the context of its requests, for Handler and TrackRequests.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	c, ok := limitedConn(conn)
	if !ok {
		return ctx
	}
	return reserver.WithConnection(context.WithValue(ctx, connKey{}, c), c.memory)
}

// HandlerConfig configures a Handler.
type HandlerConfig struct {
	Next http.Handler
	// BodyTimeout limits the time to receive the body of a request.
	BodyTimeout time.Duration
	Log         *logrus.Entry
}

// TrackRequests returns a handler that exempts a connection from eviction once its
// request is received completely, body included. A request whose connection was
// evicted before that is aborted.
func TrackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		switch {
		case !ok:
		case !c.beginRequest():
			panic(http.ErrAbortHandler)
		case r.Body != nil && r.Body != http.NoBody:
			r.Body = &trackedBody{ReadCloser: r.Body, conn: c}
		case !c.markServing():
			panic(http.ErrAbortHandler)
		}
		if ok && c.listener.isDraining() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// trackedBody is a request body that exempts its connection from eviction once it
// is read to the end.
type trackedBody struct {
	io.ReadCloser

	conn *Conn
	// read is the number of bytes read so far.
	read int
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.read += n; err == nil && b.read > reserver.SmallBytes {
		b.conn.widen()
	}
	if errors.Is(err, io.EOF) && !b.conn.markServing() {
		return n, net.ErrClosed
	}
	return n, err
}

// Handler rejects requests on connections over the limit and limits the time to
// receive a request body.
type Handler struct {
	cfg HandlerConfig
}

// NewHandler returns a Handler that also tracks requests as TrackRequests does.
func NewHandler(cfg HandlerConfig) *Handler {
	cfg.Next = TrackRequests(cfg.Next)
	return &Handler{cfg: cfg}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*Conn); ok && c.OverLimit {
		h.rejectRequest(w, classifier.New(classifier.TooManyConnections, "too many connections are open"))
		return
	}
	if r.Body != nil && r.Body != http.NoBody {
		// http.Server clears the deadline once the body is read to the end.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(h.cfg.BodyTimeout))
	}
	h.cfg.Next.ServeHTTP(w, r)
}

// errorResponse is the body of an error response, in the same format as other
// error responses of the router.
type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Kind              classifier.Kind `json:"kind"`
	Message           string          `json:"message"`
	RequestID         string          `json:"request_id"`
	NotRun            bool            `json:"not_run"`
	RetryAfterSeconds int             `json:"retry_after_seconds"`
}

func (h *Handler) rejectRequest(w http.ResponseWriter, err *classifier.Error) {
	answer := classifier.AnswerOf(err.Kind)
	detail := errorDetail{
		Kind:              err.Kind,
		Message:           err.Detail,
		RequestID:         uuid.NewString(),
		NotRun:            answer.NotRun,
		RetryAfterSeconds: int(answer.RetryAfter.Seconds()),
	}
	h.cfg.Log.WithField("request_id", detail.RequestID).WithField("kind", err.Kind).Info("rejected request on a connection over the limit")
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Retry-After", strconv.Itoa(detail.RetryAfterSeconds))
	w.Header().Set(encoder.HeaderRequestID, detail.RequestID)
	w.Header().Set(encoder.HeaderNotRun, strconv.FormatBool(detail.NotRun))
	w.WriteHeader(answer.Status)
	_ = json.NewEncoder(w).Encode(errorResponse{Error: detail})
}
