package starter_test

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/testing/launcher"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// rejectedRequest is a request that must be rejected, with the expected
// response.
type rejectedRequest struct {
	Name string `json:"name"`
	// To is the listener name: callers, operators or peers.
	To string `json:"to"`
	// Head contains the request line and headers.
	Head   []string `json:"head"`
	Body   string   `json:"body"`
	Status int      `json:"status"`
	Kind   string   `json:"kind"`
}

func TestRequestsAreRejected(t *testing.T) {
	t.Parallel()
	var rows []rejectedRequest
	scripter.Read(t, "testdata/security.json", &rows)
	d := launcher.Deploy(t, launcher.Shape{VMs: 1, Engines: 1, Services: 1})
	settings := d.VMs[0].Settings
	addresses := map[string]string{
		"callers":   settings.Router.CallerAddress.String(),
		"operators": settings.Router.OperatorAddress.String(),
		"peers":     settings.Controller.PeerAddress.String(),
	}
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			conn := dial(t.Context(), t, addresses[row.To])
			defer func() { _ = conn.Close() }()
			_, err := io.WriteString(conn, row.request())
			is.NoErr(err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			defer func() { _ = response.Body.Close() }()
			content, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(response.StatusCode, row.Status)
			is.Equal(kindOf(content), row.Kind)
			is.True(!strings.Contains(string(content), launcher.CallerKey)) // the response does not contain the key
		})
	}
}

// request returns the text of the request, with {key} and {hash} replaced.
func (r rejectedRequest) request() string {
	lines := append([]string{}, r.Head...)
	lines = append(lines, "Host: router", "Connection: close")
	if r.Body != "" {
		lines = append(lines, "Content-Length: "+strconv.Itoa(len(r.Body)))
	}
	text := strings.Join(lines, "\r\n") + "\r\n\r\n" + r.Body
	return strings.NewReplacer(
		"{key}", "Bearer "+launcher.CallerKey,
		"{hash}", checker.KeyHash(launcher.CallerKey),
	).Replace(text)
}
