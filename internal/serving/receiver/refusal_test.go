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

var errNoUpstream = classifier.New(classifier.NoUpstream, "every upstream is excluded")

// errorCase is a request that fails and the expected error response.
type errorCase struct {
	Name   string `json:"name"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key"`
	Body   string `json:"body"`
	// Repeat is the number of copies of Body to send, 0 for one.
	Repeat int `json:"repeat"`
	// NoBundle is true if the router has no bundle in force.
	NoBundle bool `json:"no_bundle"`
	// ChooserError is the kind of error that the chooser returns, if any.
	ChooserError classifier.Kind `json:"choose"`
	// RetryInMillis is the time until the RetryAt of that error, 0 for none.
	RetryInMillis int             `json:"retry_in"`
	Kind          classifier.Kind `json:"kind"`
	Status        int             `json:"status"`
	NotRun        bool            `json:"not_run"`
	RetryAfter    string          `json:"retry_after"`
}

// errorResponse is the body of an error response, decoded independently of the
// types of the receiver.
type errorResponse struct {
	Error struct {
		Kind              classifier.Kind `json:"kind"`
		RequestID         string          `json:"request_id"`
		NotRun            bool            `json:"not_run"`
		RetryAfterSeconds int             `json:"retry_after_seconds"`
	} `json:"error"`
}

// refuseDial fails as a dial to a port on which no process listens.
func refuseDial(context.Context, string, string) (net.Conn, error) {
	return nil, syscall.ECONNREFUSED
}

func TestErrorResponses(t *testing.T) {
	t.Parallel()
	var cases []errorCase
	scripter.Read(t, "testdata/refusals.json", &cases)
	for _, tc := range cases {
		t.Run(tc.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runErrorCase(t, tc) })
		})
	}
}

func runErrorCase(t *testing.T, tc errorCase) {
	is := is.New(t)
	chooser := orderedChooser{}
	if tc.ChooserError != "" {
		chooserError := classifier.New(tc.ChooserError, "injected by the test")
		if tc.RetryInMillis > 0 {
			chooserError.RetryAt = time.Now().Add(time.Duration(tc.RetryInMillis) * time.Millisecond)
		}
		chooser.err = chooserError
	}
	handler, _ := newHandler(t, newHolder(t, !tc.NoBundle), refuseDial, chooser)
	body := strings.Repeat(tc.Body, max(1, tc.Repeat))
	request := httptest.NewRequestWithContext(t.Context(), tc.Method, tc.Path, strings.NewReader(body))
	request.Header.Set("Idempotency-Key", tc.Key)
	request.Header.Set("Authorization", "Bearer "+callerKey)
	if tc.Kind == classifier.Unauthenticated {
		request.Header.Set("Authorization", "Bearer unknown")
	}
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, request)
	is.Equal(w.Code, tc.Status)
	is.Equal(w.Header().Get("Retry-After"), tc.RetryAfter)
	is.Equal(w.Header().Get("X-Not-Run"), strconv.FormatBool(tc.NotRun))
	var response errorResponse
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &response))
	is.Equal(response.Error.Kind, tc.Kind)
	is.Equal(response.Error.NotRun, tc.NotRun)
	is.Equal(response.Error.RequestID, w.Header().Get("X-Request-Id"))
	is.True(response.Error.RequestID != "")
}

func TestRetryableKindsSetRetryAfter(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, kind := range classifier.Kinds() {
		handler, _ := newHandler(t, newHolder(t, true), refuseDial, orderedChooser{err: classifier.New(kind, "injected by the test")})
		body := strings.NewReader(`{"model": "tile-match", "prompt": "p"}`)
		request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/completions", body)
		request.Header.Set("Authorization", "Bearer "+callerKey)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, request)
		want := classifier.AnswerOf(kind)
		is.Equal(w.Code, want.Status)
		is.Equal(w.Header().Get("Retry-After") != "", want.Retryable)
		is.Equal(w.Header().Get("X-Not-Run"), strconv.FormatBool(want.NotRun))
	}
}
