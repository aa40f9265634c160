package receiver_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
)

// scriptTokens is the number of tokens of a scripted answer. Its last chunk, which has the
// finish reason, follows them.
const scriptTokens = 4

// scriptedAnswer is the answer of an upstream to one exchange. ID in texts stands for the ID
// of the request.
type scriptedAnswer struct {
	Status int `json:"status"`
	// Header replaces fields of the header of a sound answer.
	Header map[string]string `json:"header"`
	// Framing is "chunks", "length" or "connection".
	Framing string `json:"framing"`
	// Chunks are the numbers of the chunks of the body, which Text follows.
	Chunks []uint64 `json:"chunks"`
	Text   string   `json:"text"`
	// Breaks ends the connection without the end of the body, Crashes ends the upstream.
	Breaks  bool `json:"breaks"`
	Crashes bool `json:"crashes"`
	// Raw replaces the whole response.
	Raw string `json:"raw"`
}

// write sends the answer. Writes fail only if the router has closed the connection.
func (a scriptedAnswer) write(conn net.Conn, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if a.Raw != "" {
		_, _ = io.WriteString(conn, a.Raw)
		return
	}
	header := map[string]string{
		"X-Request-Id": id, "X-Attempt": r.Header.Get("X-Attempt"), "X-Weights-Version": "w1", "X-Incarnation": "1",
		"Content-Type": "text/event-stream",
	}
	var body strings.Builder
	for _, number := range a.Chunks {
		body.WriteString(chunkEvent(number, id))
	}
	body.WriteString(strings.ReplaceAll(a.Text, "ID", id))
	length := body.Len()
	if a.Breaks {
		length++
	}
	switch a.Framing {
	case "chunks":
		header["Transfer-Encoding"] = "chunked"
	case "length":
		header["Content-Length"] = fmt.Sprint(length)
	case "connection":
		header["Connection"] = "close"
	}
	for name, value := range a.Header {
		header[name] = value
	}
	head := fmt.Sprintf("HTTP/1.1 %03d %s\r\n", a.Status, http.StatusText(a.Status))
	for name, value := range header {
		if value != "" {
			head += name + ": " + value + "\r\n"
		}
	}
	_, _ = io.WriteString(conn, head+"\r\n")
	if a.Framing != "chunks" {
		_, _ = io.WriteString(conn, body.String())
		return
	}
	if body.Len() > 0 {
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", body.Len(), body.String())
	}
	if !a.Breaks {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}

// chunkEvent returns an event of the scripted answer to a request. The one after the last
// token has the finish reason.
func chunkEvent(number uint64, id string) string {
	choice := fmt.Sprintf(`{"index":0,"text":"t%d ","finish_reason":null}`, number)
	if number == scriptTokens+1 {
		choice = `{"index":0,"finish_reason":"length"}`
	}
	return fmt.Sprintf("id: %d\ndata: {\"id\":%q,\"object\":\"text_completion\",\"model\":\"tile-match\",\"choices\":[%s]}\n\n", number, id, choice)
}
