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
	"gentianstep.example/gentianstep/internal/streaming/encoder"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ConnContext serves http.Server, so that a Handler knows the connection.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	c, ok := counted(conn)
	if !ok {
		return ctx
	}
	return context.WithValue(ctx, connKey{}, c)
}

// HandlerConfig holds what a Handler is built from.
type HandlerConfig struct {
	Next http.Handler
	// BodyTimeout bounds the time in which a request is sent.
	BodyTimeout time.Duration
	Log         *logrus.Entry
}

// Track returns a handler that keeps a request's connection once the request is
// whole. One whose connection has given way meanwhile is not served.
func Track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		switch {
		case !ok:
		case r.Body != nil && r.Body != http.NoBody:
			r.Body = &trackedBody{ReadCloser: r.Body, conn: c}
		case !c.serve():
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// trackedBody keeps its connection once the body is whole.
type trackedBody struct {
	io.ReadCloser

	conn *Conn
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.conn.serve() {
		return n, net.ErrClosed
	}
	return n, err
}

// Handler refuses requests on connections over the limit and bounds the time
// for which it waits for a body.
type Handler struct {
	cfg HandlerConfig
}

// NewHandler returns a Handler.
func NewHandler(cfg HandlerConfig) *Handler {
	cfg.Next = Track(cfg.Next)
	return &Handler{cfg: cfg}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*Conn); ok && c.Over {
		h.refuse(w, classifier.New(classifier.TooManyConnections, "too many connections are open"))
		return
	}
	if r.Body != nil && r.Body != http.NoBody {
		// The server takes the deadline away when the body is whole.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(h.cfg.BodyTimeout))
	}
	h.cfg.Next.ServeHTTP(w, r)
}

// refusal is the body of an error answer, as the other answers of a router.
type refusal struct {
	Error refusalDetail `json:"error"`
}

type refusalDetail struct {
	Kind              classifier.Kind `json:"kind"`
	Message           string          `json:"message"`
	RequestID         string          `json:"request_id"`
	NotRun            bool            `json:"not_run"`
	RetryAfterSeconds int             `json:"retry_after_seconds"`
}

func (h *Handler) refuse(w http.ResponseWriter, err *classifier.Error) {
	answer := classifier.AnswerOf(err.Kind)
	detail := refusalDetail{
		Kind:              err.Kind,
		Message:           err.Detail,
		RequestID:         uuid.NewString(),
		NotRun:            answer.NotRun,
		RetryAfterSeconds: int(answer.RetryAfter.Seconds()),
	}
	h.cfg.Log.WithField("request_id", detail.RequestID).WithField("kind", err.Kind).Info("request refused")
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Retry-After", strconv.Itoa(detail.RetryAfterSeconds))
	w.Header().Set(encoder.HeaderRequestID, detail.RequestID)
	w.Header().Set(encoder.HeaderNotRun, strconv.FormatBool(detail.NotRun))
	w.WriteHeader(answer.Status)
	_ = json.NewEncoder(w).Encode(refusal{Error: detail})
}
