package screener_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/testing/scripter"
	"gentianstep.example/gentianstep/internal/upstream/screener"
)

// headRow is what a server sends on one connection.
type headRow struct {
	Name string `json:"name"`
	// Responses are those to its requests.
	Responses []string `json:"responses"`
	// Broken is the number of the first response whose head is malformed, 0 for none.
	Broken int `json:"broken"`
}

// TestHeadIsCheckedInPieces checks heads that arrive in reads of any size, on a connection
// that carries one request after the other.
func TestHeadIsCheckedInPieces(t *testing.T) {
	t.Parallel()
	var rows []headRow
	scripter.Read(t, "testdata/heads.json", &rows)
	for _, row := range rows {
		for size := 1; size <= len(strings.Join(row.Responses, "")); size++ {
			t.Run(fmt.Sprint(row.Name, ", ", size, " bytes"), func(t *testing.T) {
				t.Parallel()
				row.check(t, size)
			})
		}
	}
}

func (row headRow) check(t *testing.T, size int) {
	is := is.New(t)
	client, server := net.Pipe()
	defer func() { _ = client.Close() }()
	conn := screener.NewConn(client)
	for n, response := range row.Responses {
		conn.BeginRequest()
		go func() { _, _ = io.WriteString(server, response) }() // fails if the client has closed the connection
		got, err := readInPieces(conn, len(response), size)
		if n+1 == row.Broken {
			is.True(errors.Is(err, screener.ErrHead))
			is.True(len(got) < len(response))
			return
		}
		is.NoErr(err)
		is.Equal(got, response)
	}
	is.Equal(row.Broken, 0)
}

// readInPieces reads n bytes in reads of a size.
func readInPieces(r io.Reader, n, size int) (string, error) {
	var text strings.Builder
	for text.Len() < n {
		piece := make([]byte, min(size, n-text.Len()))
		read, err := r.Read(piece)
		text.Write(piece[:read])
		if err != nil {
			return text.String(), err
		}
	}
	return text.String(), nil
}
