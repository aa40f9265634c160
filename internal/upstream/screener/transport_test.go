package screener_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/internal/upstream/screener"
)

// transportRow is the second response on a connection.
type transportRow struct {
	Name     string `json:"name"`
	Response string `json:"response"`
	// Broken is "head" or "trailer" if one of them is malformed, empty for a sound response.
	Broken string `json:"broken"`
}

// TestClientRefusesBrokenResponses checks that the clients of net/http refuse broken responses
// on connections that they keep.
func TestClientRefusesBrokenResponses(t *testing.T) {
	t.Parallel()
	var rows []transportRow
	scripter.Read(t, "testdata/transports.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			row.check(t)
		})
	}
}

func (row transportRow) check(t *testing.T) {
	is := is.New(t)
	client, server := net.Pipe()
	go serveTexts(server, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst", row.Response)
	dialled := 0
	transport := screener.NewTransport(&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		dialled++
		return client, nil
	}})
	defer transport.CloseIdleConnections()
	body, err := post(t, transport)
	is.NoErr(err)
	is.Equal(body, "first")
	body, err = post(t, transport)
	is.Equal(errors.Is(err, screener.ErrHead), row.Broken == "head")
	is.Equal(errors.Is(err, screener.ErrTrailer), row.Broken == "trailer")
	is.True(row.Broken != "" || err == nil && body == "whole")
	is.Equal(dialled, 1)
}

// serveTexts sends a text as the response to each request and closes the connection.
func serveTexts(conn net.Conn, texts ...string) {
	reader := bufio.NewReader(conn)
	for _, text := range texts {
		if _, err := http.ReadRequest(reader); err != nil {
			break
		}
		_, _ = io.WriteString(conn, text) // fails if the client has closed the connection
	}
	_ = conn.Close()
}

// post sends a request that the transport does not send again, and reads the response.
func post(t *testing.T, transport http.RoundTripper) (string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://10.0.0.1/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	response, err := (&http.Client{Transport: transport}).Do(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}
