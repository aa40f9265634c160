package receiver_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

var errNone = classifier.New(classifier.NoUpstream, "none is left")

// refusalRow is one request that gets no answer.
type refusalRow struct {
	Name   string `json:"name"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key"`
	Body   string `json:"body"`
	// Repeat multiplies the body.
	Repeat int `json:"repeat"`
	// NoBundle leaves the router without a bundle.
	NoBundle bool `json:"no_bundle"`
	// Choose is the kind by which the choice of an upstream is refused.
	Choose classifier.Kind `json:"choose"`
	// RetryIn is the estimate that comes with it, in milliseconds.
	RetryIn    int             `json:"retry_in"`
	Kind       classifier.Kind `json:"kind"`
	Status     int             `json:"status"`
	NotRun     bool            `json:"not_run"`
	RetryAfter string          `json:"retry_after"`
}

type refusalBody struct {
	Error struct {
		Kind              classifier.Kind `json:"kind"`
		RequestID         string          `json:"request_id"`
		NotRun            bool            `json:"not_run"`
		RetryAfterSeconds int             `json:"retry_after_seconds"`
	} `json:"error"`
}

func refuseDial(context.Context, string, string) (net.Conn, error) {
	return nil, syscall.ECONNREFUSED
}

func TestRefusalsAreFinalAndTrue(t *testing.T) {
	t.Parallel()
	var rows []refusalRow
	scripter.Read(t, "testdata/refusals.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runRefusalRow(t, row) })
		})
	}
}

func runRefusalRow(t *testing.T, row refusalRow) {
	is := is.New(t)
	choose := only{}
	if row.Choose != "" {
		refusal := classifier.New(row.Choose, "refused by a test")
		if row.RetryIn > 0 {
			refusal.RetryAt = time.Now().Add(time.Duration(row.RetryIn) * time.Millisecond)
		}
		choose.err = refusal
	}
	handler, _ := newHandler(t, newHolder(t, !row.NoBundle), refuseDial, choose)
	body := strings.Repeat(row.Body, max(1, row.Repeat))
	request := httptest.NewRequestWithContext(t.Context(), row.Method, row.Path, strings.NewReader(body))
	request.Header.Set("Idempotency-Key", row.Key)
	request.Header.Set("Authorization", "Bearer "+callerKey)
	if row.Kind == classifier.Unauthenticated {
		request.Header.Set("Authorization", "Bearer unknown")
	}
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, request)
	is.Equal(w.Code, row.Status)
	is.Equal(w.Header().Get("Retry-After"), row.RetryAfter)
	is.Equal(w.Header().Get("X-Not-Run"), strconv.FormatBool(row.NotRun))
	var refusal refusalBody
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &refusal))
	is.Equal(refusal.Error.Kind, row.Kind)
	is.Equal(refusal.Error.NotRun, row.NotRun)
	is.Equal(refusal.Error.RequestID, w.Header().Get("X-Request-Id"))
	is.True(refusal.Error.RequestID != "")
}

func TestEveryKindThatMayBeRetriedSaysWhen(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, kind := range classifier.Kinds() {
		handler, _ := newHandler(t, newHolder(t, true), refuseDial, only{err: classifier.New(kind, "refused by a test")})
		body := strings.NewReader(`{"model": "tile-match", "prompt": "p"}`)
		request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/completions", body)
		request.Header.Set("Authorization", "Bearer "+callerKey)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, request)
		answer := classifier.AnswerOf(kind)
		is.Equal(w.Code, answer.Status)
		is.Equal(w.Header().Get("Retry-After") != "", answer.Retryable)
		is.Equal(w.Header().Get("X-Not-Run"), strconv.FormatBool(answer.NotRun))
	}
}
