package messenger_test

import (
	"encoding/hex"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/coder/websocket"
	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/peering/messenger"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

// messageRow is an encoded message and the expected result of decoding it.
type messageRow struct {
	Name string `json:"name"`
	CBOR string `json:"cbor"`
	// Fault is empty for a valid message, else "unknown" or "invalid".
	Fault string `json:"fault"`
}

func (r messageRow) data(t *testing.T) []byte {
	t.Helper()
	data, err := hex.DecodeString(r.CBOR)
	is.New(t).NoErr(err)
	return data
}

func TestDecodeChecksMessages(t *testing.T) {
	t.Parallel()
	var rows []messageRow
	scripter.Read(t, "testdata/messages.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			_, err := messenger.Decode(row.data(t))
			is.Equal(err != nil, row.Fault != "")
			is.Equal(errors.Is(err, messenger.ErrUnknownMessage), row.Fault == "unknown")
			if err != nil {
				is.True(classifier.IsKind(err, classifier.MessageInvalid))
			}
		})
	}
}

// TestUnknownMessagesAreSkipped sends two unknown messages ahead of a valid one. Read
// must skip them, since newer processes send such messages during a rolling upgrade.
func TestUnknownMessagesAreSkipped(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var rows []messageRow
	scripter.Read(t, "testdata/messages.json", &rows)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		for _, row := range append(rows[1:3], rows[0]) {
			_ = ws.Write(r.Context(), websocket.MessageBinary, row.data(t))
		}
		_ = ws.Close(websocket.StatusNormalClosure, "")
	}))
	defer server.Close()
	conn, err := messenger.Dial(t.Context(), server.Client(), server.URL)
	is.NoErr(err)
	defer conn.Close()
	m, err := conn.Read(t.Context())
	is.NoErr(err)
	is.Equal(m.BundleHead.Version, uint64(1)) // of the known message, which was sent last
}
