package explainer

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// script is a test case: the decisions that are logged, the request ID to look up
// and the upstreams chosen in the decisions returned for it, nil for none.
type script struct {
	Name      string `json:"name"`
	Size      int    `json:"size"`
	Decisions []struct {
		Event     string `json:"event"`
		RequestID string `json:"request_id"`
		Chosen    string `json:"chosen"`
	} `json:"decisions"`
	Ask    string   `json:"ask"`
	Chosen []string `json:"chosen"`
}

func TestServesMostRecentDecisions(t *testing.T) {
	t.Parallel()
	var rows []script
	scripter.Read(t, "testdata/rings.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			e := New(Config{Size: row.Size})
			log := logrus.New()
			log.SetOutput(io.Discard)
			log.AddHook(e)
			for _, d := range row.Decisions {
				log.WithFields(logrus.Fields{"event": d.Event, "request_id": d.RequestID, "chosen": d.Chosen}).Info("routing decision")
			}
			mux := http.NewServeMux()
			mux.Handle("GET /explain/{id}", e)
			response := httptest.NewRecorder()
			mux.ServeHTTP(response, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/explain/"+row.Ask, nil))
			if row.Chosen == nil {
				is.Equal(response.Code, http.StatusNotFound)
				return
			}
			var found []Decision
			is.NoErr(json.NewDecoder(response.Body).Decode(&found))
			var chosen []string
			for _, d := range found {
				name, _ := d["chosen"].(string)
				chosen = append(chosen, name)
			}
			is.Equal(chosen, row.Chosen)
		})
	}
}
