package receiver_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/operating/reserver"
)

// TestRequestsWithoutMemoryAreRefused guards against large requests that are served while
// memory is short, small ones that are not, and a refusal that does not state that the
// request was not run.
func TestRequestsWithoutMemoryAreRefused(t *testing.T) {
	t.Parallel()
	const budget, kib = 1 << 20, 1 << 10
	rows := []struct {
		name      string
		held      int64
		size      int
		announced bool
		refused   bool
	}{
		{"small body", budget, 8 * kib, true, false},
		{"small body in chunks", budget, 8 * kib, false, false},
		{"large body", budget / 2, 300 * kib, true, true},
		{"large body in chunks", budget / 2, 300 * kib, false, true},
		{"copies of a body", budget / 2, 200 * kib, true, true},
		{"body and copies", 0, 200 * kib, true, false},
	}
	for _, row := range rows {
		for _, path := range []string{"/v1/completions", "/v1/services/sample-desk/x"} {
			t.Run(fmt.Sprint(row.name, path), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				memory := reserver.New(reserver.Config{Bytes: budget, Meter: meter.New(), Log: discardLog()})
				handler, _ := newLimitedHandler(t, newHolder(t, true), refuseDial, orderedChooser{}, memory)
				for n := int64(0); n < row.held; n += 64 * kib {
					part := memory.OpenBuffer()
					is.NoErr(part.Reserve(64 * kib))
					defer part.Release()
				}
				var body io.Reader = strings.NewReader(`{"model": "tile-match", "prompt": "a"` + strings.Repeat(" ", row.size) + "}")
				if !row.announced {
					body = io.MultiReader(body)
				}
				request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, path, body)
				request.Header.Set("Authorization", "Bearer "+callerKey)
				w := httptest.NewRecorder()
				handler.ServeHTTP(w, request)
				var response errorResponse
				is.NoErr(json.Unmarshal(w.Body.Bytes(), &response)) // no upstream accepts connections
				is.Equal(response.Error.Kind == classifier.Overloaded, row.refused)
				is.True(!row.refused || w.Code == http.StatusServiceUnavailable && response.Error.NotRun && w.Header().Get("Retry-After") != "")
				is.Equal(memory.Held(), row.held)
			})
		}
	}
}
