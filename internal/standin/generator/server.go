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

// maxBodyBytes limits the size of a request body.
const maxBodyBytes = 8 << 20

// Handler returns the HTTP API of an Engine.
func Handler(e *Engine) http.Handler {
	s := server{engine: e}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.handleCompletion)
	mux.HandleFunc("POST /v1/chat/completions", s.handleCompletion)
	mux.HandleFunc("GET /v1/streams/{id}", s.handleResume)
	mux.HandleFunc("DELETE /v1/streams/{id}", s.handleCancel)
	mux.HandleFunc("GET /v1/control/status", s.handleStatus)
	mux.HandleFunc("GET /v1/control/events", s.streamEvents)
	mux.HandleFunc("GET /v1/control/stats", s.handleStats)
	mux.HandleFunc("POST /v1/control/leave", s.handleLeave)
	mux.HandleFunc("POST "+orderer.Path, s.handleOrder)
	return s.identify(mux)
}

type server struct {
	engine *Engine
}

func (s server) handleCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeRefusal(w, http.StatusRequestEntityTooLarge, err)
		return
	}
	request, err := encoder.DecodeRequest(body)
	if err != nil {
		writeRefusal(w, http.StatusBadRequest, err)
		return
	}
	j, ctx := s.newJob(r, request)
	if !continuesAnswer(j, request) {
		writeRefusal(w, http.StatusUnprocessableEntity, errors.New("continue_text is not the start of the answer"))
		return
	}
	if err := s.engine.startJob(ctx, j); err != nil {
		writeRefusal(w, refusalStatus(err), err)
		return
	}
	out := responseWriter{
		w:       w,
		stream:  j.stream,
		request: request,
		chat:    r.URL.Path == "/v1/chat/completions",
	}
	s.setResponseHeaders(w, r, request.Stream)
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
		transfer:    parseCacheTransfer(r.Header),
		stream:      newStream(id, r.Header.Get(encoder.HeaderAttempt), request.ContinueTokens, cancel),
	}, ctx
}

// continuesAnswer reports whether the text to continue matches the start of the
// expected answer.
func continuesAnswer(j *job, request encoder.Request) bool {
	var start strings.Builder
	for n := range j.firstToken {
		start.WriteString(Token(j.prompt, j.scope.WeightsVersion, n))
	}
	return start.String() == request.ContinueText
}

// setResponseHeaders sets the weights version and the content type of a
// response.
func (s server) setResponseHeaders(w http.ResponseWriter, r *http.Request, streamed bool) {
	h := w.Header()
	h.Set(encoder.HeaderWeightsVersion, r.Header.Get(encoder.HeaderWeightsVersion))
	if streamed {
		h.Set("Content-Type", "text/event-stream")
		return
	}
	h.Set("Content-Type", "application/json")
}

func (s server) handleResume(w http.ResponseWriter, r *http.Request) {
	stream := s.engine.findStream(r.PathValue("id"))
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	attempt := r.URL.Query().Get(encoder.ParamAttempt)
	if stream == nil || err != nil || offset < stream.firstToken || (attempt != "" && attempt != stream.attempt) {
		writeRefusal(w, http.StatusNotFound, errors.New("no such stream or offset"))
		return
	}
	s.setResponseHeaders(w, r, true)
	request := encoder.Request{Stream: true, Model: r.URL.Query().Get("model")}
	out := responseWriter{w: w, stream: stream, request: request, chat: r.URL.Query().Get("chat") == "true"}
	out.copy(r.Context(), offset)
}

func (s server) handleCancel(w http.ResponseWriter, r *http.Request) {
	if !s.engine.cancelStream(r.PathValue("id"), r.URL.Query().Get(encoder.ParamAttempt)) {
		writeRefusal(w, http.StatusNotFound, errors.New("no such stream"))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s server) handleStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.engine.Report())
}

func (s server) handleStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.engine.Stats())
}

func (s server) handleLeave(w http.ResponseWriter, _ *http.Request) {
	s.engine.Leave()
	w.WriteHeader(http.StatusNoContent)
}

func refusalStatus(err error) int {
	if errors.Is(err, errWrongVersion) {
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

// writeRefusal sends an error response that marks the request as not run.
func writeRefusal(w http.ResponseWriter, status int, err error) {
	w.Header().Set(encoder.HeaderNotRun, "true")
	http.Error(w, err.Error(), status)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil {
		_, _ = fmt.Fprintln(w, err)
	}
}
