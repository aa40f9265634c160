package meter

import (
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

func TestExport(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	m := New()
	m.Count(Requests, "200", 2)
	m.Count(Requests, "429", 1)
	m.Set(BundleVersion, "", 7)
	m.Set(Connections, "callers", 3)
	m.Observe(FirstByteSeconds, 250*time.Millisecond)
	log := logrus.New()
	log.SetOutput(new(strings.Builder))
	log.AddHook(Hook{Meter: m})
	log.WithField("kind", "bundle_tampered").Warn("bundle refused")
	log.WithField("event", "route").WithField("reason", "lowest_cost").Info("routing decision")
	var text strings.Builder
	is.NoErr(m.Write(&text))
	want, err := os.ReadFile("testdata/export.txt")
	is.NoErr(err)
	is.Equal(text.String(), string(want))
}

func TestHandlerRecordsRequestsAndFlushes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	m := New()
	response := httptest.NewRecorder()
	m.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusTeapot)
		_, _ = w.Write([]byte("a"))
		w.(http.Flusher).Flush()
	})).ServeHTTP(response, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", nil))
	is.True(response.Flushed)
	var text strings.Builder
	is.NoErr(m.Write(&text))
	is.True(strings.Contains(text.String(), `gentianstep_requests_total{status="418"} 1`))
	is.True(strings.Contains(text.String(), "gentianstep_first_byte_seconds_count 1"))
}

// TestProcessGaugesAreServed checks that the gauges of the process need no other call.
func TestProcessGaugesAreServed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	recorder := httptest.NewRecorder()
	New().ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/metrics", nil))
	for _, name := range []Name{HeapBytes, Goroutines} {
		is.True(strings.Contains(recorder.Body.String(), "\n"+string(name)+" "))
	}
}

func TestEveryMetricIsDocumented(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/METRICS.md")
	is.NoErr(err)
	for _, name := range Names() {
		if !strings.Contains(string(page), "`"+string(name)+"`") {
			t.Errorf("docs/METRICS.md does not describe %s", name)
		}
	}
}
