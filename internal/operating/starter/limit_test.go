package starter_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/testing/launcher"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

const (
	testConnections = 8
	testBodyTimeout = time.Second
	limitTimeout    = 20 * time.Second
	requestHead     = "POST /v1/completions HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer " + launcher.CallerKey + "\r\n"
)

// limitCase is a request at or over a limit, and the expected response.
type limitCase struct {
	Name        string `json:"name"`
	HeaderBytes int    `json:"header_bytes"`
	BodyBytes   int    `json:"body_bytes"`
	PromptBytes int    `json:"prompt_bytes"`
	// SentBytes is the length of the part of the body that the caller sends before
	// it stalls; 0 sends the whole body.
	SentBytes int `json:"sent_bytes"`
	// StopsInHeader is true if the caller stalls before the end of the header.
	StopsInHeader bool `json:"stops_in_header"`
	// Leaves is true if the caller closes its connection after sending.
	Leaves bool `json:"leaves"`
	// Connections is the number of other connections that are opened first and
	// stay open.
	Connections int `json:"connections"`
	// Unfinished is true if each of these sends an incomplete request header.
	Unfinished bool `json:"unfinished"`
	// Streams is the number of streams that are started first, each on its own
	// connection.
	Streams int `json:"streams"`
	// Status is 0 if the connection is closed without a response.
	Status int    `json:"status"`
	Kind   string `json:"kind"`
}

func TestLimits(t *testing.T) {
	t.Parallel()
	var rows []limitCase
	scripter.Read(t, "testdata/limits.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			row.run(t)
		})
	}
}

func (l limitCase) run(t *testing.T) {
	t.Helper()
	acquireLoadLock(t)
	is := is.New(t)
	d := launcher.Deploy(t, launcher.Shape{
		VMs:      1,
		Engines:  1,
		Services: 1,
		Settings: func(_ int, s *configurer.Settings) {
			s.Router.MaxConnections = testConnections
			s.Router.BodyTimeout = checker.Duration(testBodyTimeout)
		},
	})
	ctx, cancel := context.WithTimeout(t.Context(), limitTimeout)
	defer cancel()
	address := d.VMs[0].Settings.Router.CallerAddress.String()
	otherStream := startStream(ctx, t, address)
	for range l.Connections {
		conn := dial(ctx, t, address)
		defer func() { _ = conn.Close() }()
		if l.Unfinished {
			_, _ = io.WriteString(conn, "POST /v1/comp") // the router may have closed it already
		}
	}
	for range l.Streams {
		startStream(ctx, t, address)
	}
	status, body := l.send(ctx, t, address)
	is.Equal(status, l.Status)
	is.Equal(kindOf(body), l.Kind)
	is.NoErr(readStream(otherStream, 2*longStream)) // the stream of another caller completed
}

// startStream requests a stream on a new connection and returns its body once
// the response header has arrived.
func startStream(ctx context.Context, t *testing.T, address string) io.Reader {
	t.Helper()
	conn := dial(ctx, t, address)
	t.Cleanup(func() { _ = conn.Close() })
	body := fmt.Sprintf(`{"model": "tile-match", "prompt": "catalogue sheet", "max_tokens": %d, "stream": true}`, 2*longStream)
	_, err := io.WriteString(conn, requestHead+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))+body)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = response.Body.Close() })
	if response.StatusCode != http.StatusOK {
		t.Fatalf("start stream: status %d, want 200", response.StatusCode)
	}
	return response.Body
}

// send sends the request of the test case and returns the response.
func (l limitCase) send(ctx context.Context, t *testing.T, address string) (int, []byte) {
	t.Helper()
	conn := dial(ctx, t, address)
	defer func() { _ = conn.Close() }()
	head, body := l.request()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_, _ = io.WriteString(conn, head)
		_, _ = io.WriteString(conn, body)
	}()
	if l.Leaves {
		<-sent
		return 0, nil
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	content, _ := io.ReadAll(response.Body)
	return response.StatusCode, content
}

// request returns the header and body to send.
func (l limitCase) request() (head, body string) {
	prompt := strings.Repeat("a", max(l.PromptBytes, 1))
	body = fmt.Sprintf(`{"model": "tile-match", "prompt": %q, "max_tokens": 1}`, prompt)
	if l.BodyBytes > 0 {
		body = strings.Repeat(" ", l.BodyBytes)
	}
	head = requestHead
	if l.HeaderBytes > 0 {
		head += "X-Filler: " + strings.Repeat("a", l.HeaderBytes) + "\r\n"
	}
	if l.StopsInHeader {
		return head, ""
	}
	head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	if l.SentBytes > 0 {
		body = body[:l.SentBytes]
	}
	return head, body
}

func dial(ctx context.Context, t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// kindOf returns the error kind in a response body, or "" if there is none.
func kindOf(body []byte) string {
	var response struct {
		Error struct {
			Kind string `json:"kind"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &response) != nil {
		return ""
	}
	return response.Error.Kind
}
