package generator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"gentianstep.example/gentianstep/internal/caching/hasher"
	"gentianstep.example/gentianstep/internal/placement/orderer"
	"gentianstep.example/gentianstep/internal/streaming/encoder"
)

// maxBodyBytes bounds one request.
const maxBodyBytes = 8 << 20

// Handler serves an Engine over HTTP.
func Handler(e *Engine) http.Handler {
	s := server{engine: e}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.complete)
	mux.HandleFunc("POST /v1/chat/completions", s.complete)
	mux.HandleFunc("GET /v1/streams/{id}", s.resume)
	mux.HandleFunc("DELETE /v1/streams/{id}", s.cancel)
	mux.HandleFunc("GET /v1/control/status", s.status)
	mux.HandleFunc("GET /v1/control/events", s.events)
	mux.HandleFunc("GET /v1/control/stats", s.stats)
	mux.HandleFunc("POST /v1/control/leave", s.leave)
	mux.HandleFunc("POST "+orderer.Path, s.order)
	return identified(mux)
}

// identified names the request and the attempt in every answer.
func identified(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, name := range []string{encoder.HeaderRequestID, encoder.HeaderAttempt} {
			if value := r.Header.Get(name); value != "" {
				w.Header().Set(name, value)
			}
		}
		next.ServeHTTP(w, r)
	})
}

type server struct {
	engine *Engine
}

func (s server) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		refuse(w, http.StatusRequestEntityTooLarge, err)
		return
	}
	request, err := encoder.DecodeRequest(body)
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	j, ctx := s.newJob(r, request)
	if !continues(j, request) {
		refuse(w, http.StatusUnprocessableEntity, errors.New("continue_text is not the start of the answer"))
		return
	}
	if err := s.engine.start(ctx, j); err != nil {
		refuse(w, refusalStatus(err), err)
		return
	}
	out := writer{
		w:       w,
		stream:  j.stream,
		request: request,
		chat:    r.URL.Path == "/v1/chat/completions",
	}
	s.head(w, r, request.Stream)
	out.copy(r.Context(), j.firstToken)
}

func (s server) newJob(r *http.Request, request encoder.Request) (*job, context.Context) {
	ctx, cancel := context.WithCancel(context.Background())
	text := request.Text()
	scope := hasher.Scope{
		Organisation:   r.Header.Get(encoder.HeaderOrganisation),
		Model:          request.Model,
		WeightsVersion: r.Header.Get(encoder.HeaderWeightsVersion),
	}
	id := r.Header.Get(encoder.HeaderRequestID)
	return &job{
		scope:       scope,
		prompt:      text,
		chain:       hasher.Chain(scope, text),
		interactive: r.Header.Get(encoder.HeaderPriority) != "batch",
		maxTokens:   request.MaxTokens,
		firstToken:  request.ContinueTokens,
		kept:        keptOf(r.Header),
		stream:      newStream(id, r.Header.Get(encoder.HeaderAttempt), request.ContinueTokens, cancel),
	}, ctx
}

// continues reports whether the text to go on from is the start of the answer.
func continues(j *job, request encoder.Request) bool {
	var start strings.Builder
	for n := range j.firstToken {
		start.WriteString(Token(j.prompt, j.scope.WeightsVersion, n))
	}
	return start.String() == request.ContinueText
}

// head writes the headers that tie an answer to its request.
func (s server) head(w http.ResponseWriter, r *http.Request, streamed bool) {
	h := w.Header()
	h.Set(encoder.HeaderWeightsVersion, r.Header.Get(encoder.HeaderWeightsVersion))
	h.Set(encoder.HeaderIncarnation, strconv.FormatUint(s.engine.cfg.Incarnation, 10))
	if streamed {
		h.Set("Content-Type", "text/event-stream")
		return
	}
	h.Set("Content-Type", "application/json")
}

func (s server) resume(w http.ResponseWriter, r *http.Request) {
	stream := s.engine.stream(r.PathValue("id"))
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	attempt := r.URL.Query().Get(encoder.ParamAttempt)
	if stream == nil || err != nil || offset < stream.first || (attempt != "" && attempt != stream.attempt) {
		refuse(w, http.StatusNotFound, errors.New("no such stream or offset"))
		return
	}
	s.head(w, r, true)
	request := encoder.Request{Stream: true, Model: r.URL.Query().Get("model")}
	out := writer{w: w, stream: stream, request: request, chat: r.URL.Query().Get("chat") == "true"}
	out.copy(r.Context(), offset)
}

func (s server) cancel(w http.ResponseWriter, r *http.Request) {
	if !s.engine.cancel(r.PathValue("id"), r.URL.Query().Get(encoder.ParamAttempt)) {
		refuse(w, http.StatusNotFound, errors.New("no such stream"))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.engine.Report())
}

func (s server) stats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.engine.Stats())
}

func (s server) leave(w http.ResponseWriter, _ *http.Request) {
	s.engine.Leave()
	w.WriteHeader(http.StatusNoContent)
}

func refusalStatus(err error) int {
	if errors.Is(err, errWrongVersion) {
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

// refuse answers a request that did not run.
func refuse(w http.ResponseWriter, status int, err error) {
	w.Header().Set(encoder.HeaderNotRun, "true")
	if errors.Is(err, errLeaving) {
		w.Header().Set(encoder.HeaderLeaving, "true")
	}
	http.Error(w, err.Error(), status)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil {
		_, _ = fmt.Fprintln(w, err)
	}
}
