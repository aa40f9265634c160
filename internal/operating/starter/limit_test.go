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

// limit is what a caller does wrong and the answer that it must get.
type limit struct {
	Name        string `json:"name"`
	HeaderBytes int    `json:"header_bytes"`
	BodyBytes   int    `json:"body_bytes"`
	PromptBytes int    `json:"prompt_bytes"`
	// SentBytes is the part of the body after which the caller stops.
	SentBytes     int  `json:"sent_bytes"`
	StopsInHeader bool `json:"stops_in_header"`
	// Leaves is true where the caller closes its connection.
	Leaves bool `json:"leaves"`
	// Connections are opened before and kept open.
	Connections int `json:"connections"`
	// Unfinished is true where each of them sends a part of a head.
	Unfinished bool `json:"unfinished"`
	// Streams are under way before, each on its own connection.
	Streams int `json:"streams"`
	// Status is 0 where the connection ends without an answer.
	Status int    `json:"status"`
	Kind   string `json:"kind"`
}

func TestLimits(t *testing.T) {
	t.Parallel()
	var rows []limit
	scripter.Read(t, "testdata/limits.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			row.play(t)
		})
	}
}

func (l limit) play(t *testing.T) {
	t.Helper()
	busy(t)
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
	other := beginStream(ctx, t, address)
	for range l.Connections {
		conn := dial(ctx, t, address)
		defer func() { _ = conn.Close() }()
		if l.Unfinished {
			_, _ = io.WriteString(conn, "POST /v1/comp") // it may have given way already
		}
	}
	for range l.Streams {
		beginStream(ctx, t, address)
	}
	status, body := l.send(ctx, t, address)
	is.Equal(status, l.Status)
	is.Equal(kindOf(body), l.Kind)
	is.NoErr(readStream(other, 2*longStream)) // the other caller's stream is whole
}

// beginStream asks for a stream and returns once it has begun.
func beginStream(ctx context.Context, t *testing.T, address string) io.Reader {
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
		t.Fatalf("status %d", response.StatusCode)
	}
	return response.Body
}

// send does what the row says and returns the answer.
func (l limit) send(ctx context.Context, t *testing.T, address string) (int, []byte) {
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
	answer, _ := io.ReadAll(response.Body)
	return response.StatusCode, answer
}

// request returns the bytes that the caller sends.
func (l limit) request() (head, body string) {
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

func kindOf(body []byte) string {
	var answer struct {
		Error struct {
			Kind string `json:"kind"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &answer) != nil {
		return ""
	}
	return answer.Error.Kind
}
